package org.magnoliaseam.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;
import org.magnoliaseam.model.BackendServerId;
import org.magnoliaseam.settings.DispatchPolicy;

/** Compares the policies under one load with bursts, varying service times and one slow server. */
class PolicyComparisonTest {

    private static final long MILLI = FleetBuilder.MILLI;
    private static final int ENTRIES = 4;
    private static final int SERVERS = 6;
    private static final int SLOTS_OF_ENTRY = 2;
    private static final long LOAD_MILLIS = 60_000;
    private static final double SLOWDOWN_FACTOR = 3;
    private static final double OBJECTIVE = 0.99;
    private static final DispatchPolicy[] BASELINES = {
        DispatchPolicy.ROUND_ROBIN_FIFO, DispatchPolicy.LEAST_REPORTED_LOAD_FIFO
    };

    private static SimulatedSite run(DispatchPolicy policy) {
        SimulatedSite site = new SimulatedSite();
        String[] servers = new String[SERVERS];
        for (int i = 0; i < SERVERS; i++) {
            servers[i] = "e-" + (i + 1);
        }
        for (int i = 1; i <= ENTRIES; i++) {
            FleetBuilder fleet =
                    new FleetBuilder()
                            .requestClass("quay", 1, 0, servers)
                            .requestClass("chat", 2, 0.1, servers)
                            .requestClass("review", 3, 0.05, servers);
            for (String server : servers) {
                fleet.server(server, SLOTS_OF_ENTRY);
            }
            site.entry("entry-" + i, Dispatchers.create(policy, i), fleet);
        }
        site.mSlowdowns.put(new BackendServerId("e-1"), SLOWDOWN_FACTOR);
        site.startHeartbeats();
        site.startLoadReports();
        offerLoad(site);
        site.run((LOAD_MILLIS + 60_000) * MILLI);
        return site;
    }

    private static void offerLoad(SimulatedSite site) {
        SplittableRandom random = new SplittableRandom(20);
        int number = 0;
        for (long millis = 0; millis < LOAD_MILLIS; millis += 10) {
            boolean burst = millis % 20_000 >= 15_000;
            if (random.nextInt(100) >= (burst ? 60 : 25)) {
                continue;
            }
            int draw = random.nextInt(10);
            String name = draw < 3 ? "quay" : draw < 7 ? "chat" : "review";
            long service = random.nextLong(300, draw < 3 ? 1_000 : draw < 7 ? 2_000 : 4_000);
            SimulatedEntry entry = site.mEntries.get(random.nextInt(ENTRIES));
            WorkItem work = entry.mFleet.work("r" + number++, name, "a" + draw, millis * MILLI);
            site.arrive(entry, work, service * MILLI);
        }
    }

    /** Computes the fraction of each class that started within its target for the first token. */
    private static Map<String, Double> onTime(SimulatedSite site) {
        Map<String, Double> met = new TreeMap<>();
        Map<String, Double> all = new TreeMap<>();
        for (SimulatedRequest request : site.mRequests.values()) {
            String name = request.mWork.requestClass().id().value();
            long target = request.mWork.requestClass().targets().firstToken().toNanos();
            boolean started = request.mFirstStartNanos >= 0;
            boolean inTime = started && request.mFirstStartNanos - request.mArrivedNanos <= target;
            met.merge(name, inTime ? 1.0 : 0.0, Double::sum);
            all.merge(name, 1.0, Double::sum);
        }
        met.replaceAll((name, count) -> count / all.get(name));
        return met;
    }

    private static double meanMillis(SimulatedSite site) {
        return site.mRequests.values().stream()
                .filter(request -> request.mState == SimulatedRequest.State.FINISHED)
                .mapToLong(request -> (request.mEndedNanos - request.mArrivedNanos) / MILLI)
                .average()
                .orElseThrow();
    }

    @Test
    void meetsMoreTargetsThanBaselines() {
        SimulatedSite tiered = run(DispatchPolicy.TIERED);
        assertThat(tiered.mViolations).isEmpty();
        Map<String, Double> met = onTime(tiered);
        assertThat(met.get("quay")).isGreaterThanOrEqualTo(OBJECTIVE);
        for (DispatchPolicy policy : BASELINES) {
            SimulatedSite baseline = run(policy);
            Map<String, Double> metByBaseline = onTime(baseline);
            assertThat(metByBaseline)
                    .allSatisfy((name, share) -> assertThat(met.get(name)).isGreaterThan(share));
            assertThat(meanMillis(tiered)).isLessThan(meanMillis(baseline));
        }
    }
}
