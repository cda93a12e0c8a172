package org.magnoliaseam.gateway;

import static org.assertj.core.api.Assertions.assertThat;
import static org.magnoliaseam.gateway.GatewayFixtures.DESK;
import static org.magnoliaseam.gateway.GatewayFixtures.ENGINES;
import static org.magnoliaseam.gateway.GatewayFixtures.MILLI;
import static org.magnoliaseam.gateway.GatewayFixtures.OWN_DOMAIN;
import static org.magnoliaseam.gateway.GatewayFixtures.request;
import static org.magnoliaseam.gateway.GatewayFixtures.route;
import static org.magnoliaseam.gateway.GatewayFixtures.server;

import com.codahale.metrics.MetricRegistry;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.magnoliaseam.backend.BackendFailure;
import org.magnoliaseam.catalog.RequestKind;
import org.magnoliaseam.catalog.Route;
import org.magnoliaseam.catalog.ServerEntry;
import org.magnoliaseam.catalog.WeightedService;
import org.magnoliaseam.error.ErrorKind;
import org.magnoliaseam.error.Executed;
import org.magnoliaseam.exchange.AnswerHead;
import org.magnoliaseam.exchange.Cancellation;
import org.magnoliaseam.model.BackendServerId;
import org.magnoliaseam.model.FailureDomain;
import org.magnoliaseam.model.ServiceName;

/** Tests how requests handle failed attempts, with a backend client that fails on demand. */
class GatewayCallTest {

    private static final ServiceName SMALL = new ServiceName("small");

    private final AtomicLong mNow = new AtomicLong(1);

    private final RecordingBackend mBackend = new RecordingBackend();

    private final RecordingSink mSink = new RecordingSink();

    private final ServerPool mPool =
            new ServerPool(OWN_DOMAIN, () -> GatewayFixtures.RETRIES, mNow::get);

    private final GatewayParts mGatewayParts =
            new GatewayParts(
                    mPool,
                    mBackend,
                    (peer, message) -> {},
                    new RequestLog(new MetricRegistry()),
                    mNow::get);

    private final Gateway mGateway = new Gateway(mGatewayParts);

    @BeforeEach
    void publishServers() {
        for (String id : List.of("a", "b", "c")) {
            mPool.publishedServers().add(server("engine-" + id, ENGINES, false));
            mPool.publishedServers().add(server("desk-" + id, DESK, false));
        }
    }

    private Cancellation submit(RequestKind kind, int maxTries, boolean resumable) {
        long pause = kind.streamed() ? 200 : 0;
        return mGateway.submit(
                request("r1", route(kind, maxTries, resumable, pause), Prompt.NONE), mSink);
    }

    private static AnswerHead head(int status) {
        return new AnswerHead(status, List.of());
    }

    private void content(String text) {
        mBackend.last().content(ByteBuffer.wrap(text.getBytes(StandardCharsets.UTF_8)));
    }

    /** Tests that calls of the backend client cannot deadlock with other requests. */
    @Nested
    class Locks {
        private static final long TIMEOUT_SECONDS = 2;

        /**
         * Runs a call on another thread and tells whether it returns in time, as it would not if
         * this thread held the lock that it needs.
         */
        private static boolean returnsInTime(Runnable call) {
            try {
                CompletableFuture.runAsync(call).get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
                return true;
            } catch (ExecutionException | TimeoutException | InterruptedException e) {
                return false;
            }
        }

        @Test
        void attemptsStartAndStopWithoutTheLockOfTheRequest() {
            List<Boolean> results = new ArrayList<>();
            AttemptSender port =
                    (order, listener) -> {
                        results.add(returnsInTime(listener::sending));
                        return () -> results.add(returnsInTime(listener::sending));
                    };
            Gateway gateway =
                    new Gateway(
                            new GatewayParts(
                                    mPool,
                                    port,
                                    (peer, message) -> {},
                                    new RequestLog(new MetricRegistry()),
                                    mNow::get));
            Route route = route(RequestKind.REPEATABLE, 2, false, 0);
            gateway.submit(request("r1", route, Prompt.NONE), mSink);
            mNow.set(1300 * MILLI);
            gateway.tick();
            mNow.set(5001 * MILLI);
            gateway.tick();
            assertThat(results).hasSizeGreaterThan(1).doesNotContain(false);
        }
    }

    /** Tests requests that wait for a free slot. */
    @Nested
    class Waiting {
        private void publishDesk(int slots) {
            mPool.publishedServers()
                    .add(
                            new ServerEntry(
                                    new BackendServerId("small"),
                                    SMALL,
                                    InetSocketAddress.createUnresolved("127.0.0.1", 1),
                                    OWN_DOMAIN,
                                    slots,
                                    false,
                                    0,
                                    1));
        }

        @Test
        void allSlotsThatBecomeFreeAtOnceAreUsedAtOnce() {
            publishDesk(1);
            Route route =
                    new Route(
                            "small",
                            "host.example",
                            "/p/",
                            RequestKind.ONCE,
                            List.of(new WeightedService(SMALL, 1)),
                            1,
                            5000,
                            5000,
                            500,
                            0,
                            1,
                            false,
                            false);
            for (int i = 0; i < 6; i++) {
                mGateway.submit(request("r" + i, route, Prompt.NONE), new RecordingSink());
            }
            assertThat(mBackend.mOrders).hasSize(1);
            publishDesk(5);
            mGateway.tick();
            assertThat(mBackend.mOrders).hasSize(5);
        }
    }

    /** Tests requests that may run at most once. */
    @Nested
    class RunOnce {
        @Test
        void isNotSentAgainAfterALostConnection() {
            submit(RequestKind.ONCE, 3, false);
            mBackend.last().sending();
            mBackend.last().failed(BackendFailure.CONNECTION_LOST, "reset");
            assertThat(mBackend.mOrders).hasSize(1);
            assertThat(mSink.mRefusal.kind().executed()).isNotEqualTo(Executed.NO);
        }

        @Test
        void isSentOnceIfATickPrecedesItsStart() {
            GatewayCall call =
                    new GatewayCall(
                            request("r1", route(RequestKind.ONCE, 1, false, 0), Prompt.NONE),
                            mSink,
                            mGatewayParts,
                            ended -> {});
            call.tick();
            call.begin();
            assertThat(mBackend.mOrders).hasSize(1);
        }

        @Test
        void isSentAgainAfterAFailedConnection() {
            submit(RequestKind.ONCE, 1, false);
            mBackend.last().failed(BackendFailure.NOT_SENT, "refused");
            assertThat(mBackend.mOrders).hasSize(2);
            assertThat(mBackend.mOrders.get(1).server().id())
                    .isNotEqualTo(mBackend.mOrders.get(0).server().id());
        }

        @Test
        void isReportedAsNotExecutedWhenEveryServerRefuses() {
            submit(RequestKind.ONCE, 1, false);
            for (int i = 0; i < 3 && mSink.mRefusal == null; i++) {
                mBackend.last().failed(BackendFailure.REFUSED, "full");
            }
            assertThat(mSink.mRefusal.kind().executed()).isEqualTo(Executed.NO);
        }

        @Test
        void streamThatCannotResumeIsAborted() {
            submit(RequestKind.STREAM, 2, false);
            mBackend.last().head(head(200));
            content("id: 1\ndata: x\n\n");
            mBackend.last().failed(BackendFailure.CONNECTION_LOST, "reset");
            assertThat(mSink.mAborted).isTrue();
            assertThat(mSink.mComplete).isFalse();
            assertThat(mBackend.mOrders).hasSize(1);
        }

        @Test
        void timesOutAtTheDeadlineAsPossiblyExecuted() {
            submit(RequestKind.ONCE, 1, false);
            mBackend.last().sending();
            mNow.set(5001 * MILLI);
            mGateway.tick();
            assertThat(mSink.mRefusal.kind()).isEqualTo(ErrorKind.BACKEND_TIMEOUT);
            assertThat(mBackend.mCancelled).isEqualTo(1);
            assertThat(mGateway.active()).isZero();
        }
    }

    /** Tests requests that may be repeated. */
    @Nested
    class Repeated {
        @Test
        void resumesAfterTheLastCompleteEvent() {
            submit(RequestKind.STREAM, 2, true);
            mBackend.last().head(head(200));
            content("id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\nda");
            mBackend.last().failed(BackendFailure.CONNECTION_LOST, "reset");
            assertThat(mBackend.lastOrder().lastEventId()).isEqualTo("2");
            mBackend.last().head(head(200));
            content("id: 3\ndata: c\n\n");
            mBackend.last().ended();
            assertThat(mSink.mBody)
                    .hasToString("id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n");
            assertThat(mSink.mComplete).isTrue();
            assertThat(mSink.mHeads).isEqualTo(1);
        }

        @Test
        void streamThatEndsInsideAnEventIsIncomplete() {
            submit(RequestKind.STREAM, 1, true);
            mBackend.last().head(head(200));
            content("id: 1\ndata: a\n\nid: 2\n");
            mBackend.last().ended();
            assertThat(mSink.mComplete).isFalse();
            assertThat(mSink.mAborted).isTrue();
        }

        @Test
        void silentServerIsReplacedByAnother() {
            submit(RequestKind.REPEATABLE, 2, false);
            mNow.set(1300 * MILLI);
            mGateway.tick();
            assertThat(mBackend.mOrders).hasSize(2);
            assertThat(mBackend.mCancelled).isEqualTo(1);
            mBackend.last().head(head(200));
            mBackend.last().ended();
            assertThat(mSink.mStatus).isEqualTo(200);
        }

        @Test
        void serverErrorInHandIsDeliveredIfTheNextAttemptFails() {
            submit(RequestKind.REPEATABLE, 2, false);
            mBackend.last().head(head(500));
            mBackend.last().ended();
            assertThat(mSink.mHeads).isZero();
            mBackend.last().failed(BackendFailure.CONNECTION_LOST, "reset");
            assertThat(mSink.mStatus).isEqualTo(500);
            assertThat(mSink.mComplete).isTrue();
            assertThat(mSink.mRefusal).isNull();
        }

        @Test
        void serverErrorInHandIsDeliveredAtTheDeadline() {
            submit(RequestKind.REPEATABLE, 2, false);
            mBackend.last().head(head(500));
            mBackend.last().ended();
            mNow.set(5001 * MILLI);
            mGateway.tick();
            assertThat(mSink.mStatus).isEqualTo(500);
            assertThat(mSink.mRefusal).isNull();
        }

        @Test
        void runsOnNoMoreServersThanTheRouteAllows() {
            submit(RequestKind.REPEATABLE, 2, false);
            mBackend.last().failed(BackendFailure.CONNECTION_LOST, "reset");
            mBackend.last().failed(BackendFailure.CONNECTION_LOST, "reset");
            assertThat(mBackend.mOrders).hasSize(2);
            assertThat(mSink.mRefusal).isNotNull();
        }

        @Test
        void lateAnswerOfAnEarlierAttemptIsDropped() {
            submit(RequestKind.REPEATABLE, 2, false);
            AttemptListener first = mBackend.last();
            first.failed(BackendFailure.CONNECTION_LOST, "reset");
            mBackend.last().head(head(200));
            mBackend.last().ended();
            first.head(head(200));
            first.ended();
            assertThat(mSink.mHeads).isEqualTo(1);
        }
    }

    /** Tests changes before a request is sent. */
    @Nested
    class BeforeSending {
        @Test
        void drainingServerIsNotConfirmed() {
            submit(RequestKind.REPEATABLE, 1, false);
            String id = mBackend.lastOrder().server().id().value();
            mPool.publishedServers().add(server(id, DESK, true));
            assertThat(mBackend.last().sending()).isFalse();
        }

        @Test
        void failureDomainOutOfServiceGetsNoRequests() {
            mPool.publishedServers().takeOut(Set.of(OWN_DOMAIN));
            submit(RequestKind.REPEATABLE, 1, false);
            assertThat(mBackend.mOrders).isEmpty();
            mPool.publishedServers().takeOut(Set.of(new FailureDomain("elsewhere")));
            mGateway.tick();
            assertThat(mBackend.mOrders).hasSize(1);
        }

        @Test
        void disconnectedCallerCancelsTheAttempt() {
            submit(RequestKind.STREAM, 2, true).cancel();
            assertThat(mBackend.mCancelled).isEqualTo(1);
            assertThat(mBackend.mOrders).hasSize(1);
            assertThat(mGateway.active()).isZero();
        }
    }
}
