package org.magnoliaseam.testbed.soak;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** Tests the drawing of faults and the record of disturbances. */
class SoakPlanTest {

    private static final long SECOND = 1_000_000_000L;

    @Test
    void aSeedAlwaysDrawsTheSameFaults() {
        assertThat(SoakPlan.draw(7, 15_000, 3)).isEqualTo(SoakPlan.draw(7, 15_000, 3));
        assertThat(SoakPlan.draw(7, 15_000, 3)).isNotEqualTo(SoakPlan.draw(8, 15_000, 3));
    }

    @Test
    void drawsEveryFaultWithOverlapsWithinTheGivenTime() {
        Set<SoakFault> drawn = new HashSet<>();
        int overlaps = 0;
        for (int seed = 0; seed < 20; seed++) {
            List<SoakStep> steps = SoakPlan.draw(seed, 15_000, 3);
            for (SoakStep step : steps) {
                drawn.add(step.fault());
                assertThat(step.atMillis()).isBetween(0L, 15_000L);
                assertThat(step.target()).isBetween(0, 2);
                overlaps += overlaps(steps, step) ? 1 : 0;
            }
        }
        assertThat(drawn).containsExactlyInAnyOrder(SoakFault.values());
        assertThat(overlaps).isPositive();
    }

    @Test
    void laterSeedsDrawSilencesAndChangesAlone() {
        Set<SoakFault> drawn = new HashSet<>();
        for (long seed = SoakPlan.FIRST_SILENCE_SEED; drawn.size() < 4; seed++) {
            SoakPlan.draw(seed, 15_000, 3).forEach(step -> drawn.add(step.fault()));
        }
        assertThat(drawn)
                .containsExactlyInAnyOrder(
                        SoakFault.SERVER_HANGS,
                        SoakFault.SERVERS_HANG,
                        SoakFault.CONFIGURE,
                        SoakFault.RELOAD);
    }

    @Test
    void lastSeedsDrawRestoresAmongTheChangesThatTheyMayLose() {
        Set<SoakFault> drawn = new HashSet<>();
        for (long seed = SoakPlan.FIRST_RESTORE_SEED; drawn.size() < 8; seed++) {
            SoakPlan.draw(seed, 15_000, 3).forEach(step -> drawn.add(step.fault()));
        }
        assertThat(drawn)
                .contains(SoakFault.STORE_RESTORED, SoakFault.CONFIGURE, SoakFault.EVACUATE);
    }

    private static boolean overlaps(List<SoakStep> steps, SoakStep step) {
        return steps.stream()
                .anyMatch(
                        other ->
                                other != step
                                        && other.atMillis() >= step.atMillis()
                                        && other.atMillis() < step.atMillis() + step.forMillis());
    }

    @Test
    void aDisturbanceCountsUntilTheSettlingTimeHasPassed() {
        DisturbanceLog disturbances = new DisturbanceLog();
        long before = System.nanoTime();
        assertThat(disturbances.undisturbed(before, before)).isTrue();
        DisturbanceLog.Interval interval = disturbances.begin();
        long during = System.nanoTime();
        assertThat(disturbances.undisturbed(during, during + 60 * SECOND)).isFalse();
        interval.end();
        long after = System.nanoTime();
        assertThat(disturbances.undisturbed(after + SECOND, after + 2 * SECOND)).isFalse();
        assertThat(disturbances.undisturbed(after + 4 * SECOND, after + 5 * SECOND)).isTrue();
        assertThat(disturbances.undisturbed(before - 2, before - 1)).isTrue();
        assertThat(disturbances.count(before, after)).isEqualTo(1);
    }
}
