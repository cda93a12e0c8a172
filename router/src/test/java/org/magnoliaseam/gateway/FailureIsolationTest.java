package org.magnoliaseam.gateway;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.catchThrowable;
import static org.magnoliaseam.gateway.GatewayFixtures.DESK;
import static org.magnoliaseam.gateway.GatewayFixtures.MILLI;
import static org.magnoliaseam.gateway.GatewayFixtures.OWN_DOMAIN;
import static org.magnoliaseam.gateway.GatewayFixtures.request;
import static org.magnoliaseam.gateway.GatewayFixtures.route;
import static org.magnoliaseam.gateway.GatewayFixtures.server;

import com.codahale.metrics.MetricRegistry;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.magnoliaseam.catalog.RequestKind;
import org.magnoliaseam.catalog.Route;
import org.magnoliaseam.exchange.AnswerHead;

/**
 * Tests that an unexpected failure is seen and ends no more than the request that it belongs to.
 */
class FailureIsolationTest {

    private static final Route ROUTE = route(RequestKind.REPEATABLE, 2, false, 0);

    private final AtomicLong mNow = new AtomicLong(1);

    private final RecordingBackend mBackend = new RecordingBackend();

    private final MetricRegistry mMetrics = new MetricRegistry();

    private final ServerPool mPool =
            new ServerPool(OWN_DOMAIN, () -> GatewayFixtures.RETRIES, mNow::get);

    private int mStartsToFail;

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
