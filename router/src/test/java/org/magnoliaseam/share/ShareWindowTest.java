package org.magnoliaseam.share;

import static org.assertj.core.api.Assertions.assertThat;
import static org.magnoliaseam.FleetFixtures.list;
import static org.magnoliaseam.FleetFixtures.server;
import static org.magnoliaseam.FleetFixtures.vm;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.stream.IntStream;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.magnoliaseam.fleet.MemberList;
import org.magnoliaseam.model.VmId;

/** Tests the division of a warm limit. */
class ShareWindowTest {

    private static final Duration LAG = Duration.ofSeconds(10);

    private static int[] firstVms(int count) {
        return IntStream.range(0, count).toArray();
    }

    /** Tests the shares under one list. */
    @Nested
    class OneList {
        @Test
        void remainderGoesToTheFirstRankedVms() {
            MemberList list = list(1, 0, 1, 2, 3);
            List<VmId> ranked = RendezvousRanking.subset(list, server(2, 1));
            assertThat(ranked.stream().map(vm -> ShareCalculator.share(list, server(2, 1), vm)))
                    .containsExactly(1, 1, 0, 0);
            assertThat(ranked.stream().map(vm -> ShareCalculator.share(list, server(9, 1), vm)))
                    .containsExactly(3, 2, 2, 2);
        }

        @Test
        void anotherVmDoesNotReorderTheRanking() {
            List<VmId> before = RendezvousRanking.subset(list(1, 0, 1, 2, 3), server(8, 1));
            List<VmId> after =
                    new ArrayList<>(RendezvousRanking.subset(list(2, 0, 1, 2, 3, 4), server(8, 1)));
            after.remove(vm(4));
            assertThat(after).isEqualTo(before);
        }
    }

    /** Tests changes of the list at one VM. */
    @Nested
    class Changed {
        @Test
        void decreasesAtOnceAndIncreasesAfterTheLag() {
            ShareWindow window = new ShareWindow(vm(0), 0);
            window.update(list(1, 0, 1), 0);
            assertThat(window.share(server(8, 1), LAG, LAG.toNanos())).isZero();
            long late = LAG.toNanos() + 1;
            assertThat(window.share(server(8, 1), LAG, late)).isEqualTo(4);
            window.update(list(2, 0, 1, 2, 3), late);
            assertThat(window.share(server(8, 1), LAG, late)).isEqualTo(2);
            window.update(list(3, 0), late);
            assertThat(window.share(server(8, 1), LAG, late + LAG.toNanos())).isEqualTo(2);
            assertThat(window.share(server(8, 1), LAG, late + LAG.toNanos() + 1)).isEqualTo(8);
        }
    }

    /**
     * Checks that the shares under one list add up to the limit.
     *
     * @param limit the warm limit
     * @param count the number of entry VMs
     */
    @Property(seed = "20261204", tries = 300)
    void sharesOfOneListAddUpToTheLimit(
            @ForAll @IntRange(max = 100) int limit,
            @ForAll @IntRange(min = 1, max = 30) int count) {
        MemberList list = list(1, firstVms(count));
        int sum = 0;
        for (int i = 0; i < count; i++) {
            sum += ShareCalculator.share(list, server(limit, 1), vm(i));
        }
        assertThat(sum).isEqualTo(limit);
    }

    /**
     * Checks that the sum of all shares does not exceed the limit while VMs receive lists at
     * different times within the lag, removed VMs keep sending until they receive the new list, and
     * new VMs start.
     *
     * @param seed the seed of the schedule
     * @param limit the warm limit
     */
    @Property(seed = "20261204", tries = 300)
    void sumNeverExceedsTheLimitWhileListsDiffer(
            @ForAll long seed, @ForAll @IntRange(min = 1, max = 40) int limit) {
        Random random = new Random(seed);
        Map<VmId, ShareWindow> windows = new HashMap<>();
        Map<VmId, List<Long>> arrivals = new HashMap<>();
        List<MemberList> lists = new ArrayList<>();
        long lag = LAG.toNanos();
        for (int version = 1; version <= 6; version++) {
            int[] live = random.ints(1 + random.nextInt(6), 0, 16).distinct().sorted().toArray();
            lists.add(list(version, live));
        }
        for (int i = 0; i < 16; i++) {
            long start = random.nextInt(3) == 0 ? (long) (random.nextDouble() * 6 * lag) : -2 * lag;
            windows.put(vm(i), new ShareWindow(vm(i), start));
            List<Long> times = new ArrayList<>();
            for (int k = 0; k < lists.size(); k++) {
                times.add(Math.max(start, (long) ((k * 1.01 + random.nextDouble()) * lag)));
            }
            arrivals.put(vm(i), times);
        }
        for (long now = 0; now < 9 * lag; now += lag / 17) {
            int sum = 0;
            for (Map.Entry<VmId, ShareWindow> entry : windows.entrySet()) {
                List<Long> times = arrivals.get(entry.getKey());
                for (int k = 0; k < lists.size(); k++) {
                    if (times.get(k) <= now) {
                        entry.getValue().update(lists.get(k), now);
                    }
                }
                sum += entry.getValue().share(server(limit, 1), LAG, now);
            }
            assertThat(sum).isLessThanOrEqualTo(limit);
        }
    }
}
