package org.magnoliaseam.dispatch;

import static org.assertj.core.api.Assertions.assertThat;
import static org.magnoliaseam.dispatch.TieredDispatcherTest.summarize;

import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.magnoliaseam.fleet.TierLoad;
import org.magnoliaseam.model.Tier;
import org.magnoliaseam.settings.DispatchPolicy;

/** Tests how the tiered dispatcher uses the summaries of its peers. */
class HandOverTest {

    private static final long MILLI = FleetBuilder.MILLI;

    private final FleetBuilder mFleet =
            new FleetBuilder()
                    .requestClass("quay", 1, 0, "e-1")
                    .requestClass("review", 3, 0, "e-1")
                    .requestClass("pay", 1, 0, false, "e-1")
                    .server("e-1", 1);
    private final Dispatcher mDispatcher = Dispatchers.create(DispatchPolicy.TIERED, 1);

    @BeforeEach
    void fillOnlySlot() {
        mDispatcher.update(mFleet.build(), 0);
        mDispatcher.offer(mFleet.work("running", "quay", "x", 0), 0);
    }

    private List<Decision> receiveSummary(int freeSlots, long millis, TierLoad... pressure) {
        mFleet.withoutPeers().peer("entry-2", freeSlots, millis * MILLI, pressure);
        return mDispatcher.update(mFleet.build(), millis * MILLI);
    }

    private void queue(String id, String requestClass) {
        assertThat(mDispatcher.offer(mFleet.work(id, requestClass, "x", 0), 0)).isEmpty();
    }

    /** Tests the hand-over to a peer with free slots. */
    @Nested
    class Early {

        @Test
        void handsOverNoMoreThanReportedSlots() {
            for (int i = 0; i < 5; i++) {
                queue("r" + i, "quay");
            }
            receiveSummary(2, 1);
            assertThat(mDispatcher.tick(100 * MILLI)).isEmpty();
            assertThat(summarize(mDispatcher.tick(600 * MILLI)))
                    .containsExactly("HandOver:r0", "HandOver:r1");
            assertThat(mDispatcher.tick(700 * MILLI)).isEmpty();
        }

        @Test
        void ignoresOldSummary() {
            queue("a", "quay");
            receiveSummary(2, 1);
            assertThat(mDispatcher.tick(4_000 * MILLI)).isEmpty();
        }

        @Test
        void keepsRequestsThatWereHandedOverOrStarted() {
            WorkItem handedOver =
                    FleetBuilder.withState(mFleet.work("m", "quay", "x", 0), false, true, true);
            WorkItem started =
                    FleetBuilder.withState(mFleet.work("c", "quay", "x", 0), true, true, false);
            mDispatcher.offer(handedOver, 0);
            mDispatcher.offer(started, 0);
            receiveSummary(4, 1);
            assertThat(mDispatcher.tick(600 * MILLI)).isEmpty();
        }

        @Test
        void handsOverRequestWithTicketOnce() {
            queue("p", "pay");
            receiveSummary(2, 1);
            assertThat(summarize(mDispatcher.tick(600 * MILLI))).containsExactly("HandOver:p");
        }

        @Test
        void leavesFreeSlotsToHigherTierThatWaitsAtPeer() {
            queue("low", "review");
            receiveSummary(2, 2_000, new TierLoad(Tier.HIGHEST, 3, 800, 0));
            assertThat(mDispatcher.tick(2_500 * MILLI)).isEmpty();
        }
    }

    /** Tests the hand-over of requests that would miss their target or be refused. */
    @Nested
    class Late {

        @Test
        void handsOverRequestAtRiskToPeerThatRunsLowerTier() {
            queue("a", "quay");
            queue("low", "review");
            assertThat(receiveSummary(0, 500, new TierLoad(Tier.LOWEST, 0, 0, 1))).isEmpty();
            assertThat(summarize(mDispatcher.tick(900 * MILLI))).containsExactly("HandOver:a");
        }

        @Test
        void keepsMissedRequestUntilRefusalIsNear() {
            queue("a", "quay");
            mDispatcher.tick(2_000 * MILLI);
            assertThat(receiveSummary(0, 9_000, new TierLoad(Tier.LOWEST, 0, 0, 1))).isEmpty();
            assertThat(summarize(mDispatcher.tick(9_500 * MILLI))).containsExactly("HandOver:a");
        }

        @Test
        void refusesWhenPeerRunsNoLowerTier() {
            queue("a", "quay");
            receiveSummary(0, 9_000, new TierLoad(Tier.HIGHEST, 0, 0, 4));
            assertThat(summarize(mDispatcher.tick(10_000 * MILLI))).containsExactly("Refuse:a");
        }

        @Test
        void handsOverToReadyPeerWhenNoServerIsLeft() {
            queue("a", "quay");
            mFleet.withoutServer("e-1");
            assertThat(summarize(receiveSummary(0, 950))).containsExactly("HandOver:a");
        }
    }

    @Test
    void reportsNoWaitOfRequestsThatPeersCannotRun() {
        WorkItem handedOver =
                FleetBuilder.withState(mFleet.work("m", "quay", "x", 0), false, true, true);
        mDispatcher.offer(handedOver, 0);
        TierLoad pressure = mDispatcher.pressure(600 * MILLI).get(0);
        assertThat(pressure).isEqualTo(new TierLoad(Tier.HIGHEST, 1, 0, 1));
    }

    @Test
    void withholdsLowerTierWhileHigherOneWaitsAtPeer() {
        mDispatcher.update(mFleet.server("e-1", 2).build(), 0);
        receiveSummary(0, 1, new TierLoad(Tier.HIGHEST, 1, 800, 0));
        queue("low", "review");
        assertThat(summarize(mDispatcher.offer(mFleet.work("a", "quay", "x", 0), MILLI)))
                .containsExactly("Start:a");
        mDispatcher.finished(mFleet.work("a", "quay", "x", 0).id(), 2 * MILLI);
        receiveSummary(0, 3);
        assertThat(mDispatcher.pressure(4 * MILLI).get(2).running()).isEqualTo(1);
    }
}
