package org.magnoliaseam.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.magnoliaseam.catalog.RequestKind;
import org.magnoliaseam.error.Executed;
import org.magnoliaseam.gossip.Digest;
import org.magnoliaseam.gossip.PeerEndpoint;
import org.magnoliaseam.gossip.ServerLoad;
import org.magnoliaseam.model.BackendServerId;
import org.magnoliaseam.rollout.Revision;
import org.magnoliaseam.suspect.CrashNews;

/** Replays 90 entry VMs that share three servers of six slots, with digests that are 4 s old. */
class CrowdedServiceReplayTest {

    private static final RetryLimits RETRIES = new RetryLimits(0.2, 220);

    private final SimulatedPlainSite mSite = new SimulatedPlainSite(90, 3, RETRIES, 1);

    private void play(double shareOfCapacity) {
        mSite.load(shareOfCapacity * mSite.capacity(), 0, 12_000);
        mSite.run(16_000);
    }

    private double onTime() {
        List<SimulatedOutcome> all = mSite.outcomes();
        return all.stream().filter(SimulatedOutcome::onTime).count() / (double) all.size();
    }

    /** Guards against old sums of digests that keep requests waiting beside free slots. */
    @ParameterizedTest
    @ValueSource(doubles = {0.3, 0.8})
    void requestsStartAtOnceAndServersShareThem(double shareOfCapacity) {
        play(shareOfCapacity);
        assertThat(mSite.millisBesideFreeSlots()).isLessThan(0.1);
        assertThat(mSite.imbalance()).isLessThan(1.3);
        assertThat(mSite.rejected()).isZero();
        assertThat(onTime()).isGreaterThan(0.99);
    }

    /** Guards against requests that wait until all that are answered are late. */
    @Test
    void overloadLeavesMostAnswersOnTimeAndRefusalsTrue() {
        play(1.3);
        assertThat(mSite.millisBesideFreeSlots()).isLessThan(1);
        assertThat(mSite.imbalance()).isLessThan(1.3);
        assertThat(onTime()).isGreaterThan(0.5);
        assertThat(mSite.rejected()).isLessThan(mSite.outcomes().size() / 2);
        assertThat(mSite.outcomes())
                .filteredOn(SimulatedOutcome::refused)
                .filteredOn(outcome -> outcome.refusal().kind().executed() == Executed.NO)
                .allSatisfy(outcome -> assertThat(outcome.runs()).isZero());
    }

    /** Tests which statements close a server. */
    @Nested
    class Statements {
        private final GatewayRequest mRequest =
                GatewayFixtures.request(
                        "r", GatewayFixtures.route(RequestKind.ONCE, 1, false, 0), Prompt.NONE);

        private ServerPool pool(int vms) {
            ServerPool pool = new ServerPool(GatewayFixtures.OWN_DOMAIN, () -> RETRIES, () -> 1);
            pool.publishedServers()
                    .add(GatewayFixtures.server("desk", GatewayFixtures.DESK, false));
            pool.members(GatewayFixtures.members(vms));
            Digest digest =
                    new Digest(
                            1,
                            1,
                            vms,
                            Revision.NONE,
                            List.of(),
                            List.of(new ServerLoad(new BackendServerId("desk"), 64, 0)),
                            List.of(),
                            List.of(),
                            List.of(),
                            List.of(),
                            CrashNews.NONE);
            pool.heard(new PeerEndpoint("10.0.0.1", 1), digest);
            return pool;
        }

        private ServerChoice choose(ServerPool pool) {
            return pool.choose(mRequest, Set.of(), true);
        }

        /** Guards against a change for sites with few entry VMs: 21 of them, 64 slots. */
        @Test
        void digestsOfFewEntryVmsStillCloseAServer() {
            assertThat(choose(pool(21))).isInstanceOf(ServerChoice.Wait.class);
            assertThat(choose(pool(22))).isInstanceOf(ServerChoice.Start.class);
        }

        /** Guards against a change for sites with few entry VMs: a refusal is a failure there. */
        @Test
        void refusalKeepsAwayOnlyWhereEntryVmsOutnumberTheSlots() {
            ServerPool crowded = pool(22);
            ServerChoice.Start start = (ServerChoice.Start) choose(crowded);
            assertThat(crowded.feedback(start, mRequest).full()).isTrue();
            assertThat(choose(crowded)).isInstanceOf(ServerChoice.Wait.class);
            assertThat(start.server().failures().rate()).isZero();
            assertThat(crowded.notices().full()).isOne();
            ServerPool roomy = new ServerPool(GatewayFixtures.OWN_DOMAIN, () -> RETRIES, () -> 1);
            roomy.publishedServers()
                    .add(GatewayFixtures.server("desk", GatewayFixtures.DESK, false));
            roomy.members(GatewayFixtures.members(21));
            ServerChoice.Start other = (ServerChoice.Start) choose(roomy);
            assertThat(roomy.feedback(other, mRequest).full()).isFalse();
            assertThat(choose(roomy)).isInstanceOf(ServerChoice.Start.class);
        }
    }
}
