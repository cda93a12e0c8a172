package org.magnoliaseam.gateway;

import static org.assertj.core.api.Assertions.assertThat;
import static org.magnoliaseam.gateway.GatewayFixtures.DESK;
import static org.magnoliaseam.gateway.GatewayFixtures.ENGINES;
import static org.magnoliaseam.gateway.GatewayFixtures.HERE;
import static org.magnoliaseam.gateway.GatewayFixtures.MILLI;
import static org.magnoliaseam.gateway.GatewayFixtures.request;
import static org.magnoliaseam.gateway.GatewayFixtures.route;
import static org.magnoliaseam.gateway.GatewayFixtures.server;

import com.codahale.metrics.MetricRegistry;
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
import org.magnoliaseam.error.ErrorKind;
import org.magnoliaseam.error.Executed;
import org.magnoliaseam.error.Refusal;
import org.magnoliaseam.exchange.AnswerHead;
import org.magnoliaseam.exchange.Cancellation;
import org.magnoliaseam.model.FailureDomain;

/** Tests what a request does when its tries fail, with a port that fails on demand. */
class GatewayCallTest {

    private final AtomicLong mNow = new AtomicLong(1);

    private final RecordingPort mPort = new RecordingPort();

    private final RecordingSink mSink = new RecordingSink();

    private final ServerBoard mBoard =
            new ServerBoard(HERE, () -> GatewayFixtures.RETRIES, mNow::get);

    private final GatewayParts mGatewayParts =
            new GatewayParts(mBoard, mPort, new RequestLog(new MetricRegistry()), mNow::get);

    private final Gateway mGateway = new Gateway(mGatewayParts);

    /** Keeps the tries that were started. */
    private static final class RecordingPort implements TryPort {
        private final List<TryOrder> mOrders = new ArrayList<>();
        private final List<TryListener> mListeners = new ArrayList<>();
        private int mCancelled;

        @Override
        public Cancellation start(TryOrder order, TryListener listener) {
            mOrders.add(order);
            mListeners.add(listener);
            return () -> {
                mCancelled++;
                listener.failed(BackendFailure.INCOMPLETE, "cancelled");
            };
        }

        TryListener last() {
            return mListeners.get(mListeners.size() - 1);
        }

        TryOrder lastOrder() {
            return mOrders.get(mOrders.size() - 1);
        }
    }

    /** Keeps the answer. */
    private static final class RecordingSink implements GatewaySink {
        private final StringBuilder mBody = new StringBuilder();
        private int mStatus;
        private int mHeads;
        private boolean mWhole;
        private boolean mBroken;
        private Refusal mRefusal;

        @Override
        public void head(AnswerHead head) {
            mHeads++;
            mStatus = head.status();
        }

        @Override
        public CompletableFuture<Void> write(ByteBuffer bytes) {
            mBody.append(StandardCharsets.UTF_8.decode(bytes));
            return CompletableFuture.completedFuture(null);
        }

        @Override
        public void end() {
            mWhole = true;
        }

        @Override
        public void endWith(ByteBuffer last) {
            write(last);
            end();
        }

        @Override
        public void refuse(Refusal refusal) {
            mRefusal = refusal;
        }

        @Override
        public void refuse(Refusal refusal, long retryAfterMillis) {
            mRefusal = refusal;
        }

        @Override
        public void breakOff() {
            mBroken = true;
        }
    }

    @BeforeEach
    void publishServers() {
        for (String id : List.of("a", "b", "c")) {
            mBoard.published(server("engine-" + id, ENGINES, false));
            mBoard.published(server("desk-" + id, DESK, false));
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
        mPort.last().content(ByteBuffer.wrap(text.getBytes(StandardCharsets.UTF_8)));
    }

    /** Tests that calls of the port cannot deadlock with other requests. */
    @Nested
    class Locks {
        private static final long SECONDS = 2;

        /** Asks from another thread, as the client does when it begins another request. */
        private static boolean answers(Runnable question) {
            try {
                CompletableFuture.runAsync(question).get(SECONDS, TimeUnit.SECONDS);
                return true;
            } catch (ExecutionException | TimeoutException | InterruptedException e) {
                return false;
            }
        }

        @Test
        void triesAreStartedAndStoppedWithoutTheLockOfTheRequest() {
            List<Boolean> free = new ArrayList<>();
            TryPort port =
                    (order, listener) -> {
                        free.add(answers(listener::sending));
                        return () -> free.add(answers(listener::sending));
                    };
            Gateway gateway =
                    new Gateway(
                            new GatewayParts(
                                    mBoard, port, new RequestLog(new MetricRegistry()), mNow::get));
            Route route = route(RequestKind.REPEATABLE, 2, false, 0);
            gateway.submit(request("r1", route, Prompt.NONE), mSink);
            mNow.set(1300 * MILLI);
            gateway.tick();
            mNow.set(5001 * MILLI);
            gateway.tick();
            assertThat(free).hasSizeGreaterThan(1).doesNotContain(false);
        }
    }

    /** Tests requests that may run once at most. */
    @Nested
    class RunOnce {
        @Test
        void isNotSentAgainAfterALostConnection() {
            submit(RequestKind.ONCE, 3, false);
            mPort.last().sending();
            mPort.last().failed(BackendFailure.CONNECTION_LOST, "reset");
            assertThat(mPort.mOrders).hasSize(1);
            assertThat(mSink.mRefusal.kind().executed()).isNotEqualTo(Executed.NO);
        }

        @Test
        void isSentOnceIfATickComesBeforeItsBeginning() {
            GatewayCall call =
                    new GatewayCall(
                            request("r1", route(RequestKind.ONCE, 1, false, 0), Prompt.NONE),
                            mSink,
                            mGatewayParts,
                            ended -> {});
            call.tick();
            call.begin();
            assertThat(mPort.mOrders).hasSize(1);
        }

        @Test
        void isSentAgainWhenNothingWasSent() {
            submit(RequestKind.ONCE, 1, false);
            mPort.last().failed(BackendFailure.NOT_SENT, "refused");
            assertThat(mPort.mOrders).hasSize(2);
            assertThat(mPort.mOrders.get(1).server().id())
                    .isNotEqualTo(mPort.mOrders.get(0).server().id());
        }

        @Test
        void isRefusedTruthfullyWhenEveryServerRefuses() {
            submit(RequestKind.ONCE, 1, false);
            for (int i = 0; i < 3 && mSink.mRefusal == null; i++) {
                mPort.last().failed(BackendFailure.REFUSED, "full");
            }
            assertThat(mSink.mRefusal.kind().executed()).isEqualTo(Executed.NO);
        }

        @Test
        void streamThatCannotResumeIsBrokenOff() {
            submit(RequestKind.STREAM, 2, false);
            mPort.last().head(head(200));
            content("id: 1\ndata: x\n\n");
            mPort.last().failed(BackendFailure.CONNECTION_LOST, "reset");
            assertThat(mSink.mBroken).isTrue();
            assertThat(mSink.mWhole).isFalse();
            assertThat(mPort.mOrders).hasSize(1);
        }

        @Test
        void answersAtTheDeadlineWithoutAPromise() {
            submit(RequestKind.ONCE, 1, false);
            mPort.last().sending();
            mNow.set(5001 * MILLI);
            mGateway.tick();
            assertThat(mSink.mRefusal.kind()).isEqualTo(ErrorKind.BACKEND_TIMEOUT);
            assertThat(mPort.mCancelled).isEqualTo(1);
            assertThat(mGateway.active()).isZero();
        }
    }

    /** Tests requests that may be repeated. */
    @Nested
    class Repeated {
        @Test
        void resumesBehindTheLastWholeEvent() {
            submit(RequestKind.STREAM, 2, true);
            mPort.last().head(head(200));
            content("id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\nda");
            mPort.last().failed(BackendFailure.CONNECTION_LOST, "reset");
            assertThat(mPort.lastOrder().lastEventId()).isEqualTo("2");
            mPort.last().head(head(200));
            content("id: 3\ndata: c\n\n");
            mPort.last().ended();
            assertThat(mSink.mBody)
                    .hasToString("id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n");
            assertThat(mSink.mWhole).isTrue();
            assertThat(mSink.mHeads).isEqualTo(1);
        }

        @Test
        void streamThatEndsInsideAnEventIsNotWhole() {
            submit(RequestKind.STREAM, 1, true);
            mPort.last().head(head(200));
            content("id: 1\ndata: a\n\nid: 2\n");
            mPort.last().ended();
            assertThat(mSink.mWhole).isFalse();
            assertThat(mSink.mBroken).isTrue();
        }

        @Test
        void silentServerIsLeftForAnother() {
            submit(RequestKind.REPEATABLE, 2, false);
            mNow.set(1300 * MILLI);
            mGateway.tick();
            assertThat(mPort.mOrders).hasSize(2);
            assertThat(mPort.mCancelled).isEqualTo(1);
            mPort.last().head(head(200));
            mPort.last().ended();
            assertThat(mSink.mStatus).isEqualTo(200);
        }

        @Test
        void runsOnNoMoreServersThanTheRouteAllows() {
            submit(RequestKind.REPEATABLE, 2, false);
            mPort.last().failed(BackendFailure.CONNECTION_LOST, "reset");
            mPort.last().failed(BackendFailure.CONNECTION_LOST, "reset");
            assertThat(mPort.mOrders).hasSize(2);
            assertThat(mSink.mRefusal).isNotNull();
        }

        @Test
        void lateAnswerOfAnEarlierTryIsDropped() {
            submit(RequestKind.REPEATABLE, 2, false);
            TryListener first = mPort.last();
            first.failed(BackendFailure.CONNECTION_LOST, "reset");
            mPort.last().head(head(200));
            mPort.last().ended();
            first.head(head(200));
            first.ended();
            assertThat(mSink.mHeads).isEqualTo(1);
        }
    }

    /** Tests what a request may meet before it is sent. */
    @Nested
    class BeforeTheSend {
        @Test
        void leavingServerIsNotConfirmed() {
            submit(RequestKind.REPEATABLE, 1, false);
            String id = mPort.lastOrder().server().id().value();
            mBoard.published(server(id, DESK, true));
            assertThat(mPort.last().sending()).isFalse();
        }

        @Test
        void failureDomainOutOfServiceGetsNothing() {
            mBoard.outOfService(Set.of(HERE));
            submit(RequestKind.REPEATABLE, 1, false);
            assertThat(mPort.mOrders).isEmpty();
            mBoard.outOfService(Set.of(new FailureDomain("elsewhere")));
            mGateway.tick();
            assertThat(mPort.mOrders).hasSize(1);
        }

        @Test
        void goneCallerStopsTheTry() {
            submit(RequestKind.STREAM, 2, true).cancel();
            assertThat(mPort.mCancelled).isEqualTo(1);
            assertThat(mPort.mOrders).hasSize(1);
            assertThat(mGateway.active()).isZero();
        }
    }
}
