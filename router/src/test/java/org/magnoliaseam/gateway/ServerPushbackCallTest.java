package org.magnoliaseam.gateway;

import static org.assertj.core.api.Assertions.assertThat;
import static org.magnoliaseam.gateway.GatewayFixtures.DESK;
import static org.magnoliaseam.gateway.GatewayFixtures.MILLI;
import static org.magnoliaseam.gateway.GatewayFixtures.OWN_DOMAIN;
import static org.magnoliaseam.gateway.GatewayFixtures.request;
import static org.magnoliaseam.gateway.GatewayFixtures.route;
import static org.magnoliaseam.gateway.GatewayFixtures.server;

import com.codahale.metrics.MetricRegistry;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.magnoliaseam.backend.BackendFailure;
import org.magnoliaseam.catalog.RequestKind;
import org.magnoliaseam.exchange.AnswerHead;
import org.magnoliaseam.model.BackendServerId;
import org.magnoliaseam.pushback.NoticeFault;

/** Tests requests whose backend servers ask for no requests for a time. */
class ServerPushbackCallTest {

    /** The deadline of the requests. */
    private static final long DEADLINE_MILLIS = 5000;

    private final AtomicLong mNow = new AtomicLong(1);

    private final RecordingBackend mBackend = new RecordingBackend();

    private final List<RecordingSink> mSinks = new ArrayList<>();

    private final ServerPool mPool =
            new ServerPool(OWN_DOMAIN, () -> GatewayFixtures.RETRIES, mNow::get);

    private final Gateway mGateway =
            new Gateway(
                    new GatewayParts(
                            mPool,
                            mBackend,
                            (peer, message) -> {},
                            new RequestLog(new MetricRegistry()),
                            mNow::get));

    private void publish(String... ids) {
        for (String id : ids) {
            mPool.publishedServers().add(server(id, DESK, false));
        }
    }

    private RecordingSink submit(RequestKind kind) {
        RecordingSink sink = new RecordingSink();
        mSinks.add(sink);
        mGateway.submit(request("r" + mSinks.size(), route(kind, 2, false, 0), Prompt.NONE), sink);
        return sink;
    }

    /** Answers an attempt with a refusal that asks for no requests for a time. */
    private static void pushBack(AttemptListener listener, long millis) {
        listener.pushback(millis);
        listener.failed(BackendFailure.REFUSED, "full");
    }

    private static void answer(AttemptListener listener) {
        listener.head(new AnswerHead(200, List.of()));
        listener.ended();
    }

    private void tickUntil(long millis) {
        while (mNow.get() < millis * MILLI) {
            mNow.addAndGet(20 * MILLI);
            mGateway.tick();
        }
    }

    private int sends() {
        return mBackend.mOrders.size();
    }

    /** Tests a service whose other servers take requests. */
    @Nested
    class OthersTakeRequests {
        @Test
        void refusedRequestGoesElsewhereAtOnce() {
            publish("a", "b");
            submit(RequestKind.ONCE);
            String first = mBackend.lastOrder().server().id().value();
            pushBack(mBackend.last(), 2000);
            assertThat(sends()).isEqualTo(2);
            assertThat(mBackend.lastOrder().server().id()).isNotEqualTo(id(first));
        }

        @Test
        void nothingIsSentToTheServerBeforeTheEnd() {
            publish("a", "b");
            submit(RequestKind.ONCE);
            String first = mBackend.lastOrder().server().id().value();
            pushBack(mBackend.last(), 2000);
            for (int i = 0; i < 50; i++) {
                submit(RequestKind.REPEATABLE);
                tickUntil(20 + i * 35);
            }
            assertThat(mBackend.mOrders.subList(1, sends()))
                    .noneMatch(order -> order.server().id().equals(id(first)));
        }

        @Test
        void attemptThatIsNotSentYetIsHeldBackAndCostsNoRetry() {
            publish("a");
            submit(RequestKind.ONCE);
            RecordingSink second = submit(RequestKind.ONCE);
            AttemptListener waiting = mBackend.mListeners.get(1);
            pushBack(mBackend.mListeners.get(0), 2000);
            assertThat(waiting.sending()).isFalse();
            publish("b");
            waiting.failed(BackendFailure.HELD_BACK, "the facts changed");
            mBackend.mListeners.subList(2, sends()).forEach(ServerPushbackCallTest::answer);
            assertThat(second.mComplete).isTrue();
        }

        @Test
        void politeRefusalIsNoFault() {
            publish("a");
            submit(RequestKind.REPEATABLE);
            pushBack(mBackend.last(), 300);
            tickUntil(400);
            answer(mBackend.last());
            assertThat(choose().server().failures().rate()).isZero();
        }

        @Test
        void refusalWithoutATimeIsAFaultAsBefore() {
            publish("a");
            submit(RequestKind.REPEATABLE);
            mBackend.last().failed(BackendFailure.REFUSED, "full");
            assertThat(choose().server().failures().rate()).isPositive();
        }

        private ServerChoice.Start choose() {
            GatewayRequest probe =
                    request("probe", route(RequestKind.REPEATABLE, 2, false, 0), Prompt.NONE);
            return (ServerChoice.Start) mPool.choose(probe, Set.of(), false);
        }
    }

    /** Tests a service all of whose servers have asked for no requests. */
    @Nested
    class AllPushBack {
        @Test
        void requestWaitsForTheEarliestEndWithinItsDeadline() {
            publish("a");
            RecordingSink sink = submit(RequestKind.ONCE);
            pushBack(mBackend.last(), 2000);
            tickUntil(1990);
            assertThat(sends()).isEqualTo(1);
            assertThat(sink.mRefusal).isNull();
            tickUntil(2300);
            assertThat(sends()).isEqualTo(2);
            answer(mBackend.last());
            assertThat(sink.mComplete).isTrue();
        }

        @Test
        void requestIsRefusedAtOnceIfTheEndIsAfterItsDeadline() {
            publish("a");
            RecordingSink sink = submit(RequestKind.ONCE);
            pushBack(mBackend.last(), 30_000);
            assertThat(sink.mRefusal).isNotNull();
            assertThat(sink.mRetryAfterMillis).isGreaterThanOrEqualTo(30_000);
        }

        @Test
        void callersAreNeverToldToComeBackBeforeAnyServerTakesThem() {
            publish("a", "b");
            RecordingSink first = submit(RequestKind.ONCE);
            pushBack(mBackend.last(), 30_000);
            assertThat(first.mRefusal).isNull();
            pushBack(mBackend.last(), 20_000);
            assertThat(first.mRetryAfterMillis).isBetween(20_000L, 25_000L);
            RecordingSink second = submit(RequestKind.REPEATABLE);
            assertThat(second.mRetryAfterMillis).isBetween(20_000L, 25_000L);
            assertThat(second.mRetryAfterMillis).isNotEqualTo(first.mRetryAfterMillis);
        }

        @Test
        void waitingRequestsDoNotArriveAllAtOnceAtTheEnd() {
            publish("a");
            submit(RequestKind.ONCE);
            pushBack(mBackend.last(), 1000);
            for (int i = 0; i < 20; i++) {
                submit(RequestKind.ONCE);
            }
            tickUntil(1300);
            assertThat(sends()).isEqualTo(2);
            answer(mBackend.last());
            System.out.println(
                    +sends()
                            + " active "
                            + mGateway.active()
                            + " "
                            + mPool.choose(
                                    request("x", route(RequestKind.ONCE, 2, false, 0), Prompt.NONE),
                                    Set.of(),
                                    false));
            assertThat(sends()).isEqualTo(4);
            assertThat(mSinks).noneMatch(sink -> sink.mRefusal != null);
        }

        @Test
        void serverThatPushesBackAgainGetsOneRequestForEachTime() {
            publish("a");
            submit(RequestKind.ONCE);
            submit(RequestKind.ONCE);
            submit(RequestKind.ONCE);
            List.copyOf(mBackend.mListeners).forEach(listener -> pushBack(listener, 500));
            int before = sends();
            tickUntil(650);
            assertThat(sends()).isEqualTo(before + 1);
            pushBack(mBackend.last(), 500);
            tickUntil(1100);
            assertThat(sends()).isEqualTo(before + 1);
            tickUntil(1300);
            assertThat(sends()).isEqualTo(before + 2);
        }

        @Test
        void waitingRequestIsPlacedIfAnotherServerAppears() {
            publish("a");
            RecordingSink sink = submit(RequestKind.ONCE);
            pushBack(mBackend.last(), 4000);
            publish("b");
            tickUntil(100);
            answer(mBackend.last());
            assertThat(mBackend.lastOrder().server().id()).isEqualTo(id("b"));
            assertThat(sink.mComplete).isTrue();
        }

        @Test
        void everyRequestEndsAtItsDeadline() {
            publish("a");
            submit(RequestKind.ONCE);
            pushBack(mBackend.last(), 4700);
            for (int i = 0; i < 20; i++) {
                submit(RequestKind.REPEATABLE);
            }
            tickUntil(DEADLINE_MILLIS + 100);
            assertThat(mGateway.active()).isZero();
        }
    }

    /** Tests that the state belongs to one start of a backend server. */
    @Nested
    class Starts {
        @Test
        void laterStartTakesRequestsAtOnce() {
            publish("a");
            submit(RequestKind.ONCE);
            pushBack(mBackend.last(), 4000);
            mPool.publishedServers().add(GatewayFixtures.laterStart(server("a", DESK, false)));
            tickUntil(100);
            assertThat(sends()).isEqualTo(2);
        }

        @Test
        void faultyNoticesAreCounted() {
            publish("a");
            submit(RequestKind.ONCE);
            mBackend.last().faultyNotice(NoticeFault.MALFORMED_DELAY);
            answer(mBackend.last());
            assertThat(mPool.notices().faulty()).isEqualTo(1);
            assertThat(mSinks.get(0).mComplete).isTrue();
        }
    }

    private static BackendServerId id(String value) {
        return new BackendServerId(value);
    }
}
