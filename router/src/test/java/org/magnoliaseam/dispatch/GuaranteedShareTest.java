package org.magnoliaseam.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.magnoliaseam.fleet.TierLoad;
import org.magnoliaseam.model.Tier;
import org.magnoliaseam.settings.DispatchPolicy;

/**
 * Tests that requests of every class are started under a permanent overload of the highest tier.
 */
class GuaranteedShareTest {

    private static final long MILLI = FleetBuilder.MILLI;
    private static final long SERVICE_MILLIS = 500;
    private static final int SLOTS_OF_SERVER = 2;
    private static final int OVERDUE_CLASSES = 2;
    private static final long OVERLOAD_MILLIS = 120_000;

    private final FleetBuilder mFleet =
            new FleetBuilder()
                    .requestClass("quay", 1, 0, "e-1", "e-2")
                    .requestClass("review", 3, 0.05, "e-1", "e-2")
                    .requestClass("note", 3, 0, "e-1");

    private SimulatedSite overload(Dispatcher dispatcher, int servers) {
        SimulatedSite site = new SimulatedSite();
        for (int i = 1; i <= servers; i++) {
            mFleet.server("e-" + i, SLOTS_OF_SERVER);
        }
        SimulatedEntry entry = site.entry("entry-1", dispatcher, mFleet);
        offer(site, entry, "quay", 25);
        offer(site, entry, "review", 900);
        offer(site, entry, "note", 1_100);
        site.run(OVERLOAD_MILLIS * MILLI);
        assertThat(site.mViolations).isEmpty();
        return site;
    }

    private void offer(SimulatedSite site, SimulatedEntry entry, String name, long intervalMillis) {
        for (long millis = 1; millis < OVERLOAD_MILLIS; millis += intervalMillis) {
            WorkItem work = mFleet.work(name + millis, name, "x", millis * MILLI);
            site.arrive(entry, work, SERVICE_MILLIS * MILLI);
        }
    }

    private static long longestGapMillis(SimulatedSite site, String name) {
        long last = 0;
        long longest = 0;
        List<SimulatedRequest> starts =
                site.mStarts.stream()
                        .filter(start -> start.mWork.requestClass().id().value().equals(name))
                        .toList();
        for (SimulatedRequest start : starts) {
            longest = Math.max(longest, start.mFirstStartNanos - last);
            last = start.mFirstStartNanos;
        }
        return Math.max(longest, OVERLOAD_MILLIS * MILLI - last) / MILLI;
    }

    /**
     * Computes the upper bound: the time until the class is overdue plus that until a slot is free.
     */
    private static long maxGapMillis(long overdueMillis, int servers) {
        int releases = servers + 2 * OVERDUE_CLASSES - 1;
        int releasesPerService = SLOTS_OF_SERVER;
        int services = (releases + releasesPerService - 1) / releasesPerService;
        return overdueMillis
                + services * SERVICE_MILLIS
                + SimulatedSite.TICK_INTERVAL_NANOS / MILLI;
    }

    /** Tests the upper bound of the time between two starts of a class with waiting requests. */
    @Nested
    class WaitBound {

        @Test
        void holdsForClassWithShareOnOneServer() {
            SimulatedSite site = overload(Dispatchers.create(DispatchPolicy.TIERED, 1), 1);
            long startsUntilOverdue = 20;
            long overdue = startsUntilOverdue / SLOTS_OF_SERVER * SERVICE_MILLIS;
            assertThat(longestGapMillis(site, "review"))
                    .isLessThanOrEqualTo(maxGapMillis(overdue, 1));
        }

        @Test
        void holdsForClassWithoutShare() {
            SimulatedSite site = overload(Dispatchers.create(DispatchPolicy.TIERED, 1), 2);
            long overdue = ClassShare.MAX_START_INTERVAL_NANOS / MILLI;
            assertThat(longestGapMillis(site, "note"))
                    .isLessThanOrEqualTo(maxGapMillis(overdue, 2));
        }
    }

    @Test
    void leavesMostStartsToHighestTier() {
        SimulatedSite site = overload(Dispatchers.create(DispatchPolicy.TIERED, 1), 2);
        long high = site.mStarts.stream().filter(s -> s.tier().equals(Tier.HIGHEST)).count();
        assertThat((double) high / site.mStarts.size()).isGreaterThan(0.9);
        assertThat(site.mPreempted).isZero();
    }

    @Test
    void grantsOnServerThatIsWithheldForPeer() {
        Dispatcher dispatcher = Dispatchers.create(DispatchPolicy.TIERED, 1);
        mFleet.server("e-1", 1).peer("entry-2", 0, 0, new TierLoad(Tier.HIGHEST, 5, 900, 0));
        dispatcher.update(mFleet.build(), 0);
        WorkItem work = mFleet.work("a", "note", "x", 0);
        assertThat(dispatcher.offer(work, 0)).isEmpty();
        mFleet.withoutPeers()
                .peer("entry-2", 0, 4_000 * MILLI, new TierLoad(Tier.HIGHEST, 5, 900, 0));
        dispatcher.update(mFleet.build(), 4_000 * MILLI);
        List<Decision> decisions = dispatcher.tick(5_000 * MILLI);
        assertThat(decisions).hasSize(1);
        assertThat(((Decision.Start) decisions.get(0)).granted()).isTrue();
    }
}
