package org.magnoliaseam.gateway;

import static org.assertj.core.api.Assertions.assertThat;
import static org.magnoliaseam.gateway.GatewayFixtures.DESK;
import static org.magnoliaseam.gateway.GatewayFixtures.ENGINES;
import static org.magnoliaseam.gateway.GatewayFixtures.MILLI;
import static org.magnoliaseam.gateway.GatewayFixtures.OWN_DOMAIN;
import static org.magnoliaseam.gateway.GatewayFixtures.engine;
import static org.magnoliaseam.gateway.GatewayFixtures.members;
import static org.magnoliaseam.gateway.GatewayFixtures.request;
import static org.magnoliaseam.gateway.GatewayFixtures.route;
import static org.magnoliaseam.gateway.GatewayFixtures.server;

import com.codahale.metrics.MetricRegistry;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.magnoliaseam.backend.BackendFailure;
import org.magnoliaseam.catalog.Account;
import org.magnoliaseam.catalog.RequestKind;
import org.magnoliaseam.catalog.Route;
import org.magnoliaseam.catalog.ServerEntry;
import org.magnoliaseam.error.Refusal;
import org.magnoliaseam.exchange.AnswerHead;
import org.magnoliaseam.model.ClientAccountId;
import org.magnoliaseam.model.RequestId;

/** Tests silent attempts whose successor does not take the request, and what searches cost. */
class LostSuccessorTest {

    /** Later than the longest time without an answer or event that the routes allow. */
    private static final long SILENCE = 1300 * MILLI;

    /** A slack of which one retry is left to each of the entry VMs that are assumed at first. */
    private static final double LAST_RETRY_SLACK = 10;

    private final AtomicLong mNow = new AtomicLong(1);

    private final RecordingBackend mBackend = new RecordingBackend();

    private final RecordingSink mSink = new RecordingSink();

    private RetryLimits mRetries = GatewayFixtures.RETRIES;

    private final ServerPool mPool = new ServerPool(OWN_DOMAIN, () -> mRetries, mNow::get);

    private final Gateway mGateway =
            new Gateway(
                    new GatewayParts(
                            mPool,
                            mBackend,
                            (peer, message) -> {},
                            new RequestLog(new MetricRegistry()),
                            mNow::get));

    private void publish(ServerEntry... entries) {
        for (ServerEntry entry : entries) {
            mPool.publishedServers().add(entry);
        }
    }

    private void submit(String id, RequestKind kind, int maxTries, GatewaySink sink) {
        Route route = route(kind, maxTries, true, kind.streamed() ? 200 : 0);
        mGateway.submit(request(id, route, Prompt.NONE), sink);
    }

    private void pass(long nanos) {
        mNow.addAndGet(nanos);
        mGateway.tick();
    }

    private static AnswerHead head() {
        return new AnswerHead(200, List.of());
    }

    private static void content(AttemptListener listener, String text) {
        listener.content(ByteBuffer.wrap(text.getBytes(StandardCharsets.UTF_8)));
    }

    private String lastServer() {
        return mBackend.lastOrder().server().id().value();
    }

    /** Tests that the silent attempt outlasts a successor that no backend server takes. */
    @Nested
    class NotTaken {
        private void replaceByOneThatFails(BackendFailure failure) {
            publish(server("a", DESK, false), server("b", DESK, false));
            submit("r1", RequestKind.REPEATABLE, 2, mSink);
            mBackend.mConnects = failure == BackendFailure.REFUSED;
            pass(SILENCE);
            assertThat(mBackend.mOrders).hasSize(2);
            mBackend.last().failed(failure, "lost");
        }

        @Test
        void silentAttemptOutlastsASuccessorThatCannotBeReached() {
            replaceByOneThatFails(BackendFailure.NOT_SENT);
            assertThat(mBackend.mCancelled).isZero();
        }

        @Test
        void silentAttemptOutlastsASuccessorThatWasHeldBack() {
            replaceByOneThatFails(BackendFailure.HELD_BACK);
            assertThat(mBackend.mCancelled).isZero();
        }

        @Test
        void requestIsNotRefusedAtOnceIfItsSuccessorUsedTheLastRetry() {
            mRetries = new RetryLimits(0, LAST_RETRY_SLACK);
            replaceByOneThatFails(BackendFailure.NOT_SENT);
            assertThat(mSink.mRefusal).isNull();
        }

        @Test
        void requestDoesNotWaitInVainBesideAServerThatWentOnIfItsSuccessorIsFull() {
            replaceByOneThatFails(BackendFailure.REFUSED);
            for (int i = 0; i < 100; i++) {
                pass(20 * MILLI);
            }
            assertThat(mBackend.mCancelled == 0 || mBackend.mOrders.size() > 2).isTrue();
        }

        @Test
        void streamIsNotBrokenOffIfItsSuccessorCannotBeReached() {
            publish(server("a", ENGINES, false), server("b", ENGINES, false));
            mRetries = new RetryLimits(0, LAST_RETRY_SLACK);
            submit("r1", RequestKind.STREAM, 2, mSink);
            mBackend.last().head(head());
            content(mBackend.last(), "id: 1\ndata: a\n\n");
            mBackend.mConnects = false;
            pass(SILENCE);
            assertThat(mBackend.mOrders).hasSize(2);
            mBackend.last().failed(BackendFailure.NOT_SENT, "lost");
            assertThat(mSink.mAborted).isFalse();
        }
    }

    /** Tests events between the choice of a successor and its permit. */
    @Nested
    class Permit {
        @Test
        void successorDoesNotRepeatEventsThatCameWhileItsPermitWasAsked() {
            mPool.members(members(0, 50));
            publish(engine("a", 64), engine("b", 64), engine("c", 64));
            submit("r1", RequestKind.STREAM, 3, mSink);
            pass(30 * MILLI);
            AttemptListener first = mBackend.last();
            first.head(head());
            content(first, "id: 1\ndata: a\n\n");
            pass(SILENCE);
            assertThat(mBackend.mOrders).hasSize(1);
            content(first, "id: 2\ndata: b\n\n");
            pass(SILENCE);
            String last = mSink.mBody.indexOf("id: 2") < 0 ? "1" : "2";
            assertThat(mBackend.mOrders.subList(1, mBackend.mOrders.size()))
                    .extracting(TryOrder::lastEventId)
                    .isSubsetOf(last);
        }
    }

    /** Tests that a server that sends its answer is not taken for a silent one. */
    @Nested
    class Sending {
        @Test
        void serverThatSendsAWholeAnswerIsNotSilent() {
            publish(server("a", DESK, false), server("b", DESK, false));
            submit("r1", RequestKind.REPEATABLE, 2, mSink);
            mBackend.last().head(head());
            for (int i = 0; i < 14; i++) {
                content(mBackend.last(), "part");
                pass(100 * MILLI);
            }
            assertThat(mBackend.mCancelled).isZero();
        }

        @Test
        void serverThatSendsALongEventIsNotSilent() {
            publish(server("a", ENGINES, false), server("b", ENGINES, false));
            submit("r1", RequestKind.STREAM, 2, mSink);
            mBackend.last().head(head());
            content(mBackend.last(), "id: 1\ndata: a\n\nid: 2\ndata: ");
            for (int i = 0; i < 14; i++) {
                content(mBackend.last(), "part");
                pass(100 * MILLI);
            }
            assertThat(mBackend.mCancelled).isZero();
        }
    }

    /** Tests what is left for other requests. */
    @Nested
    class Others {
        private void goOn(AttemptListener listener, int events) {
            listener.head(head());
            for (int i = 1; i <= events; i++) {
                content(listener, "id: " + i + "\ndata: a\n\n");
                pass(100 * MILLI);
            }
        }

        @Test
        void requestDoesNotWaitBesideAServerWithFreeSlotsThatOnlyOneAttemptIsStuckAt() {
            publish(engine("stuck", 64));
            submit("r1", RequestKind.STREAM, 1, new RecordingSink());
            pass(SILENCE);
            publish(engine("full", 1));
            submit("r2", RequestKind.STREAM, 1, new RecordingSink());
            assertThat(lastServer()).isEqualTo("full");
            goOn(mBackend.last(), 20);
            submit("r3", RequestKind.STREAM, 1, mSink);
            assertThat(mBackend.mOrders).hasSize(3);
        }

        @Test
        void ejectedServerIsProbedThoughAnAttemptIsStuckThere() {
            publish(engine("stuck", 64));
            submit("r1", RequestKind.STREAM, 1, new RecordingSink());
            for (int i = 0; i < 2; i++) {
                submit("f" + i, RequestKind.STREAM, 1, new RecordingSink());
                mBackend.last().failed(BackendFailure.CONNECTION_LOST, "reset");
            }
            publish(engine("full", 1));
            submit("r2", RequestKind.STREAM, 1, new RecordingSink());
            assertThat(lastServer()).isEqualTo("full");
            goOn(mBackend.last(), 30);
            submit("r3", RequestKind.STREAM, 1, mSink);
            assertThat(mBackend.mOrders).hasSize(5);
        }

        @Test
        void coldServerTakesRequestsBesideASilentOne() {
            silenceBesideAColdServer(1);
            assertThat(lastServer()).isEqualTo("b");
        }

        @Test
        void searchesWithoutRetryBudgetDoNotUseUpAColdStart() {
            silenceBesideAColdServer(2);
            assertThat(lastServer()).isEqualTo("b");
        }

        private void silenceBesideAColdServer(int maxTries) {
            mRetries = new RetryLimits(0, 0);
            mPool.members(members(1));
            publish(server("a", DESK, false));
            for (int i = 0; i < 8; i++) {
                mGateway.submit(cold("r" + i, maxTries), new RecordingSink());
            }
            ServerEntry warm = server("b", DESK, false);
            publish(
                    new ServerEntry(
                            warm.id(),
                            DESK,
                            warm.address(),
                            OWN_DOMAIN,
                            GatewayFixtures.SLOTS,
                            false,
                            60_000,
                            1));
            for (int i = 0; i < 30; i++) {
                pass(100 * MILLI);
            }
            mGateway.submit(cold("late", maxTries), new RecordingSink());
        }

        private GatewayRequest cold(String id, int maxTries) {
            return new GatewayRequest(
                    new RequestId(id),
                    Optional.of(new Account(new ClientAccountId("account"), OptionalInt.of(1))),
                    route(RequestKind.REPEATABLE, maxTries, true, 0),
                    GatewayFixtures.service(DESK, 4),
                    1,
                    "POST",
                    "/p/1",
                    List.of(),
                    new byte[0],
                    Prompt.NONE,
                    "",
                    mNow.get(),
                    mNow.get() + 5000 * MILLI);
        }
    }

    /** Tests that a request whose answer cannot be written costs the others nothing. */
    @Nested
    class Unwritable {
        @Test
        void failureToRefuseOneRequestDoesNotKeepOthersFromTheirAnswers() {
            publish(server("a", DESK, false));
            RecordingSink[] sinks = new RecordingSink[8];
            for (int i = 0; i < sinks.length; i++) {
                sinks[i] = new RecordingSink();
                submit("r" + i, RequestKind.REPEATABLE, 1, sinks[i]);
            }
            submit("bad", RequestKind.REPEATABLE, 1, new ThrowingSink());
            for (int i = 0; i < 3; i++) {
                try {
                    pass(5001 * MILLI);
                } catch (IllegalStateException e) {
                    assertThat(e).hasMessage("cannot be written");
                }
            }
            assertThat(sinks).allMatch(sink -> sink.mRefusal != null);
        }
    }

    /** Fails to write anything. */
    private static final class ThrowingSink implements GatewaySink {
        @Override
        public void head(AnswerHead head) {
            throw new IllegalStateException("cannot be written");
        }

        @Override
        public CompletableFuture<Void> write(ByteBuffer bytes) {
            throw new IllegalStateException("cannot be written");
        }

        @Override
        public void end() {
            throw new IllegalStateException("cannot be written");
        }

        @Override
        public void endWith(ByteBuffer last) {
            throw new IllegalStateException("cannot be written");
        }

        @Override
        public void refuse(Refusal refusal) {
            throw new IllegalStateException("cannot be written");
        }

        @Override
        public void refuse(Refusal refusal, long retryAfterMillis) {
            throw new IllegalStateException("cannot be written");
        }

        @Override
        public void breakOff() {
            throw new IllegalStateException("cannot be written");
        }
    }
}
