package org.magnoliaseam.gateway;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.catchThrowable;
import static org.magnoliaseam.gateway.GatewayFixtures.DESK;
import static org.magnoliaseam.gateway.GatewayFixtures.ENGINES;
import static org.magnoliaseam.gateway.GatewayFixtures.MILLI;
import static org.magnoliaseam.gateway.GatewayFixtures.OWN_DOMAIN;
import static org.magnoliaseam.gateway.GatewayFixtures.request;
import static org.magnoliaseam.gateway.GatewayFixtures.route;
import static org.magnoliaseam.gateway.GatewayFixtures.server;

import com.codahale.metrics.MetricRegistry;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.magnoliaseam.backend.BackendFailure;
import org.magnoliaseam.catalog.RequestKind;
import org.magnoliaseam.catalog.Route;
import org.magnoliaseam.error.ErrorKind;
import org.magnoliaseam.exchange.AnswerHead;
import org.magnoliaseam.model.BackendServerId;

/**
 * Tests that an unexpected failure is seen and ends no more than the request that it belongs to.
 */
class FailureIsolationTest {

    private static final Route ROUTE = route(RequestKind.REPEATABLE, 2, false, 0);

    private final AtomicLong mNow = new AtomicLong(1);

    private final RecordingBackend mBackend = new RecordingBackend();

    private final MetricRegistry mMetrics = new MetricRegistry();

    private final ServerPool mPool = new ServerPool(OWN_DOMAIN, this::retries, mNow::get);

    private int mStartsToFail;

    private boolean mRetriesBroken;

    private final Gateway mGateway =
            new Gateway(
                    new GatewayParts(
                            mPool,
                            (order, listener) -> {
                                if (mStartsToFail-- > 0) {
                                    throw new IllegalStateException("cannot start");
                                }
                                return mBackend.start(order, listener);
                            },
                            (peer, message) -> {},
                            new RequestLog(mMetrics),
                            mNow::get));

    private RetryLimits retries() {
        if (mRetriesBroken) {
            throw new IllegalStateException("no limits");
        }
        return GatewayFixtures.RETRIES;
    }

    private RecordingSink submit(String id) {
        RecordingSink sink = new RecordingSink();
        mGateway.submit(request(id, ROUTE, Prompt.NONE), sink);
        return sink;
    }

    @Test
    void failedActionIsCounted() {
        mPool.publishedServers().add(server("desk-a", DESK, false));
        mStartsToFail = 1;
        catchThrowable(() -> submit("r1"));
        assertThat(mMetrics.counter("gateway.failures.action").getCount()).isEqualTo(1);
    }

    @Test
    void requestThatIsOpenAfterItsDeadlineIsCounted() {
        mPool.publishedServers().add(server("desk-a", DESK, false));
        submit("r1");
        mNow.set(5499 * MILLI);
        assertThat(mGateway.overdue()).isZero();
        mNow.set(5500 * MILLI);
        assertThat(mGateway.overdue()).isEqualTo(1);
    }

    /** Tests requests that end with an answer although a step of theirs failed. */
    @Nested
    class FinalAnswer {
        @BeforeEach
        void publishServers() {
            for (String id : List.of("a", "b")) {
                mPool.publishedServers().add(server("engine-" + id, ENGINES, false));
                mPool.publishedServers().add(server("desk-" + id, DESK, false));
            }
        }

        @Test
        void attemptThatCannotStartEndsItsRequestAtOnce() {
            mStartsToFail = 1;
            RecordingSink sink = new RecordingSink();
            catchThrowable(() -> mGateway.submit(request("r1", ROUTE, Prompt.NONE), sink));
            assertThat(sink.mRefusal.kind()).isEqualTo(ErrorKind.BACKEND_FAILED);
            assertThat(mGateway.active()).isZero();
        }

        @Test
        void attemptThatCannotStartLeavesItsRoom() {
            mPool.publishedServers().add(server("desk-a", DESK, false, 1));
            mPool.publishedServers().retain(Set.of(new BackendServerId("desk-a")));
            mStartsToFail = 1;
            catchThrowable(() -> submit("r1"));
            submit("r2");
            assertThat(mBackend.mOrders).hasSize(1);
        }

        @Test
        void decisionThatFailsAfterAPossibleRunEndsItsRequestAsPossiblyRun() {
            RecordingSink sink = submit("r1");
            mRetriesBroken = true;
            lose(BackendFailure.CONNECTION_LOST);
            assertThat(sink.mRefusal.kind()).isEqualTo(ErrorKind.BACKEND_FAILED);
            assertThat(mGateway.active()).isZero();
        }

        @Test
        void decisionThatFailsBeforeARunEndsItsRequestAsInternal() {
            RecordingSink sink = submit("r1");
            mRetriesBroken = true;
            lose(BackendFailure.NOT_SENT);
            assertThat(sink.mRefusal.kind()).isEqualTo(ErrorKind.INTERNAL);
        }

        @Test
        void decisionThatFailsBreaksAStreamOff() {
            RecordingSink sink = new RecordingSink();
            Route stream = route(RequestKind.STREAM, 2, true, 200);
            mGateway.submit(request("r1", stream, Prompt.NONE), sink);
            mBackend.last().head(new AnswerHead(200, List.of()));
            byte[] event = "id: 1\ndata: x\n\n".getBytes(StandardCharsets.UTF_8);
            mBackend.last().content(ByteBuffer.wrap(event));
            mRetriesBroken = true;
            lose(BackendFailure.CONNECTION_LOST);
            assertThat(sink.mAborted).isTrue();
            assertThat(sink.mRefusal).isNull();
        }

        @Test
        void lostAttemptWhoseServerStateFailsEndsItsRequest() {
            RecordingSink sink = submit("r1");
            mPool.crashes().observe(FinalAnswer::fail);
            lose(BackendFailure.CONNECTION_LOST);
            assertThat(sink.mRefusal.kind()).isEqualTo(ErrorKind.BACKEND_FAILED);
        }

        private static void fail() {
            throw new IllegalStateException("cannot tell the others");
        }

        @Test
        void requestWhoseCallerCannotBeAnsweredDoesNotStayOpen() {
            submit("r1").mFails = true;
            mNow.set(5000 * MILLI);
            catchThrowable(mGateway::tick);
            assertThat(mGateway.active()).isZero();
        }

        private void lose(BackendFailure failure) {
            catchThrowable(() -> mBackend.last().failed(failure, "lost"));
        }
    }

    /** Tests that other requests go on. */
    @Nested
    class Others {
        private final List<RecordingSink> mSound = new ArrayList<>();

        private void submitAll() {
            mPool.publishedServers().add(server("desk-a", DESK, false));
            for (int i = 0; i < 8; i++) {
                submit("fails-" + i).mFails = true;
                mSound.add(submit("sound-" + i));
            }
        }

        @Test
        void requestThatFailsDoesNotKeepTheOthersFromTheirDeadline() {
            submitAll();
            mNow.set(5000 * MILLI);
            catchThrowable(mGateway::tick);
            assertThat(mSound).allMatch(sink -> sink.mRefusal != null);
        }

        @Test
        void requestThatFailsDoesNotKeepTheOthersFromTheirEndWithTheProcess() {
            submitAll();
            catchThrowable(mGateway::end);
            assertThat(mSound).allMatch(sink -> sink.mRefusal != null);
        }

        @Test
        void waitingRequestThatCannotStartDoesNotStopTheQueue() {
            mPool.publishedServers().add(server("desk-a", DESK, false, 1));
            for (int i = 0; i < 4; i++) {
                submit("r" + i);
            }
            assertThat(mBackend.mOrders).hasSize(1);
            mStartsToFail = 1;
            catchThrowable(() -> end(mBackend.last()));
            mPool.publishedServers().add(server("desk-b", DESK, false, 1));
            mGateway.tick();
            assertThat(mBackend.mOrders).hasSizeGreaterThan(1);
        }

        private static void end(AttemptListener attempt) {
            attempt.head(new AnswerHead(200, List.of()));
            attempt.ended();
        }
    }
}
