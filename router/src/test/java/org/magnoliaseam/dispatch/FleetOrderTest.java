package org.magnoliaseam.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;
import org.magnoliaseam.settings.DispatchPolicy;

/** Tests the order of tiers across four entry VMs with unequal load, with and without peers. */
class FleetOrderTest {

    private static final long MILLI = FleetBuilder.MILLI;
    private static final int ENTRIES = 4;
    private static final long LOAD_MILLIS = 60_000;
    private static final long SHORT_MILLIS = 500;
    private static final long LONG_MILLIS = 4_000;
    private static final double OBJECTIVE = 0.99;

    /** Simulates an entry VM with mostly the highest tier beside others with mostly the lowest. */
    private static SimulatedSite run(boolean withPeers) {
        SimulatedSite site = new SimulatedSite();
        for (int i = 1; i <= ENTRIES; i++) {
            FleetBuilder fleet =
                    new FleetBuilder()
                            .requestClass("quay", 1, 0, "e-1", "e-2", "e-3", "e-4")
                            .requestClass("review", 3, 0.05, "e-1", "e-2", "e-3", "e-4");
            for (int server = 1; server <= 4; server++) {
                fleet.server("e-" + server, 2);
            }
            site.entry("entry-" + i, Dispatchers.create(DispatchPolicy.TIERED, i), fleet);
        }
        if (withPeers) {
            site.startHeartbeats();
        }
        for (int i = 0; i < ENTRIES; i++) {
            offer(site, i, "quay", i == 0 ? 33 : 400, SHORT_MILLIS, withPeers);
            offer(site, i, "review", i == 0 ? 2_000 : 250, LONG_MILLIS, withPeers);
        }
        site.run((LOAD_MILLIS + 60_000) * MILLI);
        return site;
    }

    private static void offer(
            SimulatedSite site,
            int entry,
            String name,
            long intervalMillis,
            long serviceMillis,
            boolean resumable) {
        SimulatedEntry receiver = site.mEntries.get(entry);
        for (long millis = entry + 1; millis < LOAD_MILLIS; millis += intervalMillis) {
            String id = name + "-" + entry + "-" + millis;
            WorkItem work = receiver.mFleet.work(id, name, "account-" + millis % 3, millis * MILLI);
            work = FleetBuilder.withState(work, false, resumable, false);
            site.arrive(receiver, work, serviceMillis * MILLI);
        }
    }

    private static double onTime(SimulatedSite site, String name) {
        long all = 0;
        long met = 0;
        for (SimulatedRequest request : site.mRequests.values()) {
            if (request.mWork.requestClass().id().value().equals(name)) {
                long target = request.mWork.requestClass().targets().firstToken().toNanos();
                boolean started = request.mFirstStartNanos >= 0;
                all++;
                met +=
                        started && request.mFirstStartNanos - request.mArrivedNanos <= target
                                ? 1
                                : 0;
            }
        }
        return (double) met / all;
    }

    @Test
    void keepsTierOrderAcrossEntryVms() {
        SimulatedSite withoutPeers = run(false);
        SimulatedSite withPeers = run(true);
        assertThat(withoutPeers.mHigherRefusedWhileLowerRan).isPositive();
        assertThat(withPeers.mHigherRefusedWhileLowerRan).isZero();
        assertThat(onTime(withPeers, "quay")).isGreaterThanOrEqualTo(OBJECTIVE);
        assertThat(onTime(withoutPeers, "quay")).isLessThan(OBJECTIVE);
        assertThat(withPeers.mViolations).isEmpty();
        assertThat(withPeers.mRequests.values()).allMatch(SimulatedRequest::ended);
    }
}
