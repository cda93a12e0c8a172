package org.magnoliaseam.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.magnoliaseam.error.ErrorKind;
import org.magnoliaseam.fleet.TierLoad;
import org.magnoliaseam.model.RequestId;
import org.magnoliaseam.model.Tier;
import org.magnoliaseam.settings.DispatchPolicy;

/** Tests the tiered dispatcher on one entry VM. */
class TieredDispatcherTest {

    private static final long MILLI = FleetBuilder.MILLI;

    private final FleetBuilder mFleet = new FleetBuilder();
    private final Dispatcher mDispatcher = Dispatchers.create(DispatchPolicy.TIERED, 1);

    @BeforeEach
    void startWithOneSlot() {
        mFleet.requestClass("quay", 1, 0, "e-1")
                .requestClass("chat", 2, 0, "e-1")
                .requestClass("review", 3, 0, "e-1")
                .server("e-1", 1);
        mDispatcher.update(mFleet.build(), 0);
    }

    private List<Decision> offer(String id, String requestClass, String account, long millis) {
        return mDispatcher.offer(
                mFleet.work(id, requestClass, account, millis * MILLI), millis * MILLI);
    }

    private List<Decision> finish(String id, long millis) {
        return mDispatcher.finished(new RequestId(id), millis * MILLI);
    }

    /** Summarizes each decision as its type and request, such as {@code Start:r1}. */
    static List<String> summarize(List<Decision> decisions) {
        return decisions.stream()
                .map(decision -> decision.getClass().getSimpleName() + ":" + decision.id())
                .toList();
    }

    /** Finishes requests one after the other and returns the requests started in their place. */
    private List<String> order(String running, int count, long millis) {
        List<String> order = new ArrayList<>();
        String next = running;
        for (int i = 0; i < count; i++) {
            List<Decision> decisions = finish(next, millis);
            assertThat(decisions).hasSize(1);
            next = decisions.get(0).id().value();
            order.add(next);
        }
        return order;
    }

    /** Tests the order in which requests are started. */
    @Nested
    class Order {

        @Test
        void startsAtOnceOnFreeSlot() {
            assertThat(summarize(offer("a", "review", "x", 0))).containsExactly("Start:a");
            assertThat(mDispatcher.room()).isEmpty();
        }

        @Test
        void prefersHigherTierRegardlessOfArrival() {
            offer("a", "review", "x", 0);
            offer("low", "review", "x", 1);
            offer("mid", "chat", "x", 2);
            offer("high", "quay", "x", 3);
            assertThat(order("a", 3, 10)).containsExactly("high", "mid", "low");
        }

        @Test
        void servesAccountsRoundRobinAndTheirRequestsInOrder() {
            offer("a", "chat", "x", 0);
            offer("x1", "chat", "large", 1);
            offer("x2", "chat", "large", 1);
            offer("x3", "chat", "large", 1);
            offer("y1", "chat", "small", 2);
            assertThat(order("a", 4, 10)).containsExactly("x1", "y1", "x2", "x3");
        }

        @Test
        void putsStartedRequestFirstInItsAccount() {
            offer("a", "chat", "x", 0);
            offer("b", "chat", "x", 1);
            WorkItem resumed =
                    FleetBuilder.withState(mFleet.work("c", "chat", "x", 0), true, true, false);
            mDispatcher.offer(resumed, 2 * MILLI);
            assertThat(order("a", 2, 10)).containsExactly("c", "b");
        }

        @Test
        void skipsWithdrawnRequests() {
            offer("a", "chat", "x", 0);
            offer("b", "chat", "x", 1);
            offer("c", "chat", "x", 1);
            mDispatcher.withdraw(new RequestId("b"), 2 * MILLI);
            assertThat(order("a", 1, 10)).containsExactly("c");
        }

        @Test
        void skipsExcludedServersWithoutBlockingOthers() {
            WorkItem excluding = FleetBuilder.excluding(mFleet.work("a", "quay", "x", 0), "e-1");
            assertThat(mDispatcher.offer(excluding, 0)).isEmpty();
            assertThat(summarize(offer("b", "review", "x", 0))).containsExactly("Start:b");
        }

        @Test
        void followsChangeOfTierInConfiguration() {
            offer("a", "chat", "x", 0);
            offer("low", "review", "x", 1);
            offer("mid", "chat", "x", 1);
            mFleet.requestClass("review", 1, 0, "e-1");
            mDispatcher.update(mFleet.build(), 2 * MILLI);
            assertThat(order("a", 2, 10)).containsExactly("low", "mid");
        }
    }

    /** Tests that the slots limit the running requests. */
    @Nested
    class Slots {

        @Test
        void startsNothingWhileFewerSlotsThanRunningRequests() {
            mDispatcher.update(mFleet.server("e-1", 2).build(), 0);
            offer("a", "chat", "x", 0);
            offer("b", "chat", "x", 0);
            offer("c", "chat", "x", 0);
            mDispatcher.update(mFleet.server("e-1", 1).build(), MILLI);
            assertThat(finish("a", 2)).isEmpty();
            assertThat(summarize(finish("b", 3))).containsExactly("Start:c");
        }

        @Test
        void startsWaitingRequestWhenServerReturns() {
            mDispatcher.update(mFleet.withoutServer("e-1").build(), 0);
            assertThat(offer("a", "chat", "x", 0)).isEmpty();
            assertThat(summarize(mDispatcher.update(mFleet.server("e-1", 1).build(), MILLI)))
                    .containsExactly("Start:a");
        }

        @Test
        void keepsRunningCountOfServerThatReturns() {
            offer("a", "chat", "x", 0);
            offer("b", "chat", "x", 0);
            mDispatcher.update(mFleet.withoutServer("e-1").build(), MILLI);
            assertThat(mDispatcher.update(mFleet.server("e-1", 1).build(), 2 * MILLI)).isEmpty();
            assertThat(summarize(finish("a", 3))).containsExactly("Start:b");
        }
    }

    /** Tests when requests are refused. */
    @Nested
    class Refusals {

        @Test
        void refusesAfterLongestWait() {
            offer("a", "quay", "x", 0);
            offer("b", "quay", "x", 0);
            assertThat(mDispatcher.tick(9_999 * MILLI)).isEmpty();
            List<Decision> decisions = mDispatcher.tick(10_000 * MILLI);
            assertThat(summarize(decisions)).containsExactly("Refuse:b");
            assertThat(((Decision.Refuse) decisions.get(0)).kind())
                    .isEqualTo(ErrorKind.QUEUE_TIMEOUT);
        }

        @Test
        void refusesWithoutServerAsNoBackendServer() {
            mDispatcher.update(mFleet.server("e-1", 0).build(), 0);
            offer("a", "quay", "x", 0);
            List<Decision> decisions = mDispatcher.tick(10_000 * MILLI);
            assertThat(((Decision.Refuse) decisions.get(0)).kind())
                    .isEqualTo(ErrorKind.NO_BACKEND_SERVER);
        }

        @Test
        void countsWaitOfPreemptedRequestFromItsReturn() {
            offer("a", "quay", "x", 0);
            WorkItem resumed =
                    FleetBuilder.withState(mFleet.work("b", "quay", "x", 0), true, true, false);
            mDispatcher.offer(resumed, 30_000 * MILLI);
            assertThat(mDispatcher.tick(39_999 * MILLI)).isEmpty();
            assertThat(summarize(mDispatcher.tick(40_000 * MILLI))).containsExactly("Refuse:b");
        }

        @Test
        void dropsLowerTierBeforeRefusingHigherTier() {
            mDispatcher.update(mFleet.queueLimit(10).build(), 0);
            offer("running", "quay", "x", 0);
            for (int i = 0; i < 10; i++) {
                offer("low" + i, "review", "x", 0);
                offer("high" + i, "quay", "x", 0);
            }
            assertThat(summarize(offer("high10", "quay", "x", 1))).containsExactly("Refuse:low9");
            assertThat(summarize(offer("high11", "quay", "x", 1))).containsExactly("Refuse:low8");
            assertThat(summarize(offer("high12", "quay", "x", 1))).containsExactly("Refuse:high12");
        }
    }

    /** Tests which running requests are preempted. */
    @Nested
    class Preemption {

        @Test
        void cancelsLowestTierStartedLastForRequestAtRisk() {
            mDispatcher.update(mFleet.server("e-1", 3).build(), 0);
            offer("mid", "chat", "x", 0);
            offer("low1", "review", "x", 0);
            offer("low2", "review", "x", 0);
            assertThat(offer("high", "quay", "x", 100)).isEmpty();
            assertThat(mDispatcher.tick(500 * MILLI)).isEmpty();
            assertThat(summarize(mDispatcher.tick(1_000 * MILLI))).containsExactly("Preempt:low2");
            assertThat(mDispatcher.tick(1_100 * MILLI)).isEmpty();
            assertThat(summarize(finish("low2", 1_200))).containsExactly("Start:high");
        }

        @Test
        void preemptsNeitherEqualTierNorUnsuitableRequests() {
            mFleet.requestClass("pay", 3, 0, false, "e-1").server("e-1", 3);
            mDispatcher.update(mFleet.build(), 0);
            offer("equal", "quay", "x", 0);
            offer("pay", "pay", "x", 0);
            mDispatcher.offer(
                    FleetBuilder.withState(mFleet.work("w", "review", "x", 0), false, false, false),
                    0);
            offer("high", "quay", "x", 100);
            assertThat(mDispatcher.tick(2_000 * MILLI)).isEmpty();
        }

        @Test
        void reservesFreedSlotDespiteOverdueClass() {
            offer("low1", "review", "x", 0);
            offer("low2", "review", "x", 0);
            mDispatcher.offer(mFleet.work("high", "quay", "x", 5_000 * MILLI), 5_000 * MILLI);
            assertThat(summarize(mDispatcher.tick(6_000 * MILLI))).containsExactly("Preempt:low1");
            assertThat(summarize(finish("low1", 6_010))).containsExactly("Start:high");
        }

        @Test
        void preemptsOnceForOneRequest() {
            mDispatcher.update(mFleet.server("e-1", 2).build(), 0);
            offer("low1", "review", "x", 0);
            offer("low2", "review", "x", 0);
            offer("high", "quay", "x", 0);
            assertThat(mDispatcher.tick(1_000 * MILLI)).hasSize(1);
            assertThat(mDispatcher.tick(1_500 * MILLI)).isEmpty();
            offer("high2", "quay", "x", 600);
            assertThat(mDispatcher.tick(1_600 * MILLI)).hasSize(1);
        }
    }

    /** Tests a process that shuts down. */
    @Nested
    class Leaving {

        @Test
        void refusesNewRequestsAndKeepsStartedOnes() {
            offer("a", "chat", "x", 0);
            offer("b", "chat", "x", 0);
            WorkItem resumed =
                    FleetBuilder.withState(mFleet.work("c", "chat", "x", 0), true, true, false);
            mDispatcher.offer(resumed, MILLI);
            assertThat(mDispatcher.update(mFleet.leaving().build(), 2 * MILLI)).isEmpty();
            List<Decision> decisions = offer("d", "quay", "x", 3);
            assertThat(summarize(decisions)).containsExactly("Refuse:d");
            assertThat(((Decision.Refuse) decisions.get(0)).kind()).isEqualTo(ErrorKind.LEAVING);
            assertThat(summarize(finish("a", 4))).containsExactly("Start:c");
            assertThat(summarize(finish("c", 5))).containsExactly("Start:b");
            assertThat(mDispatcher.room()).isEmpty();
        }

        @Test
        void runsRequestsThatWaitedBeforeItLeftAndThatNoPeerTakes() {
            offer("a", "chat", "x", 0);
            offer("b", "chat", "x", 0);
            assertThat(summarize(mDispatcher.update(mFleet.leaving().build(), MILLI))).isEmpty();
            assertThat(summarize(finish("a", 2))).containsExactly("Start:b");
        }

        @Test
        void runsRequestThatComesBackFromAPeer() {
            mDispatcher.update(mFleet.leaving().build(), MILLI);
            WorkItem back =
                    FleetBuilder.withState(mFleet.work("b", "chat", "x", 0), false, true, true);
            assertThat(summarize(mDispatcher.offer(back, 2 * MILLI))).containsExactly("Start:b");
        }

        @Test
        void handsOverQueuedRequestToPeer() {
            offer("a", "chat", "x", 0);
            offer("b", "chat", "x", 0);
            mFleet.peer("entry-2", 0, 0).leaving();
            assertThat(summarize(mDispatcher.update(mFleet.build(), MILLI)))
                    .containsExactly("HandOver:b");
        }

        @Test
        void runsRequestsWithTicketWithoutPeers() {
            mFleet.requestClass("seat", 1, 0, false, "e-1");
            mDispatcher.update(mFleet.build(), 0);
            offer("a", "chat", "x", 0);
            assertThat(summarize(offer("b", "seat", "x", 0))).isEmpty();
            assertThat(summarize(mDispatcher.update(mFleet.leaving().build(), MILLI))).isEmpty();
            assertThat(summarize(finish("a", 2))).containsExactly("Start:b");
            assertThat(summarize(finish("b", 3))).isEmpty();
            assertThat(summarize(offer("c", "seat", "x", 4))).containsExactly("Start:c");
        }

        @Test
        void handsOverRequestWithTicketToPeer() {
            mFleet.requestClass("seat", 1, 0, false, "e-1");
            mFleet.peer("entry-2", 0, 0).leaving();
            mDispatcher.update(mFleet.build(), 0);
            assertThat(summarize(offer("b", "seat", "x", 1))).containsExactly("HandOver:b");
        }
    }

    /** Tests the choice of the server. */
    @Nested
    class Choice {

        @Test
        void spreadsOverServersByOwnRunningRequests() {
            mFleet.requestClass("chat", 2, 0, "e-1", "e-2", "e-3");
            mFleet.server("e-1", 4).server("e-2", 4).server("e-3", 4);
            mDispatcher.update(mFleet.build(), 0);
            Set<String> servers = new HashSet<>();
            for (int i = 0; i < 3; i++) {
                Decision.Start start = (Decision.Start) offer("r" + i, "chat", "x", 0).get(0);
                servers.add(start.server().value());
                assertThat(start.reason()).contains("e-1").contains("e-2").contains("e-3");
            }
            assertThat(servers).hasSize(3);
        }

        @Test
        void prefersServerWithPrefixWithinBound() {
            mFleet.requestClass("chat", 2, 0, "e-1", "e-2").server("e-1", 8).server("e-2", 8);
            mDispatcher.update(mFleet.build(), 0);
            List<String> servers = new ArrayList<>();
            for (int i = 0; i < 5; i++) {
                WorkItem work = FleetBuilder.withAffinity(mFleet.work("r" + i, "chat", "x", 0), 42);
                servers.add(((Decision.Start) mDispatcher.offer(work, 0).get(0)).server().value());
            }
            assertThat(servers.get(1)).isEqualTo(servers.get(0));
            assertThat(servers).contains("e-1", "e-2");
        }
    }

    @Test
    void reportsPressureOfEachTier() {
        offer("a", "review", "x", 0);
        offer("b", "quay", "x", 100);
        assertThat(mDispatcher.pressure(400 * MILLI))
                .containsExactly(
                        new TierLoad(Tier.HIGHEST, 1, 300, 0),
                        new TierLoad(new Tier(2), 0, 0, 0),
                        new TierLoad(Tier.LOWEST, 0, 0, 1));
    }
}
