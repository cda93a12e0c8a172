package org.magnoliaseam.peer;

import static org.assertj.core.api.Assertions.assertThat;
import static org.awaitility.Awaitility.await;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.List;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.RepeatedTest;
import org.junit.jupiter.api.Test;
import org.magnoliaseam.error.ErrorKind;
import org.magnoliaseam.error.Refusal;
import org.magnoliaseam.exchange.AnswerHead;
import org.magnoliaseam.exchange.AnswerSink;
import org.magnoliaseam.exchange.Cancellation;
import org.magnoliaseam.exchange.ForwardedRequest;
import org.magnoliaseam.fleet.PeerSummary;
import org.magnoliaseam.model.Incarnation;
import org.magnoliaseam.model.VmId;
import org.magnoliaseam.settings.ConfigurationText;

/** Tests nodes against each other over loopback. */
class PeerNodeTest {

    private static final AnswerHead OK = new AnswerHead(200, List.of());

    private TestNode mFirst;
    private TestNode mSecond;

    @BeforeEach
    void connect() throws IOException {
        mFirst = new TestNode("entry-1", Fixtures.SECRET);
        mSecond = new TestNode("entry-2", Fixtures.SECRET);
        mFirst.mNode.connectTo(List.of(mFirst.address(), mSecond.address()));
        mSecond.mNode.connectTo(List.of(mFirst.address(), mSecond.address()));
        await().until(() -> mFirst.connected(mSecond) && mSecond.connected(mFirst));
    }

    @AfterEach
    void close() {
        mFirst.close();
        mSecond.close();
    }

    private Cancellation forward(byte[] body, RecordingSink sink) {
        ForwardedRequest request = Fixtures.request(mFirst.mSelf, "request-1", body);
        return mFirst.mNode.forward(mSecond.mSelf.vm(), request, sink);
    }

    private static Cancellation echo(ForwardedRequest request, AnswerSink sink) {
        sink.head(OK);
        sink.write(ByteBuffer.wrap(request.body())).thenRun(sink::end);
        return () -> {};
    }

    /** Tests connections, heartbeats and configurations. */
    @Nested
    class State {

        @Test
        void heartbeatsArriveInOrderWithTheirLists() {
            mFirst.mNode.broadcast(Fixtures.summary(mFirst.mSelf, 1, 6, 1));
            await().until(() -> mSecond.mHeartbeats.size() == 1);
            mFirst.mNode.broadcast(Fixtures.summary(mFirst.mSelf, 2, 6, 1));
            await().until(() -> mSecond.mHeartbeats.size() == 2);
            mFirst.mNode.broadcast(Fixtures.summary(mFirst.mSelf, 3, 5, 0));
            await().until(() -> mSecond.mHeartbeats.size() == 3);
            PeerSummary second = mSecond.mHeartbeats.get(1);
            assertThat(second.sequence()).isEqualTo(2);
            assertThat(SummaryLists.same(second, mSecond.mHeartbeats.get(0))).isTrue();
            assertThat(second.suspects().get(0).ageMillis()).isBetween(9L, 9L + 10_000);
            assertThat(mSecond.mHeartbeats.get(2))
                    .isEqualTo(Fixtures.summary(mFirst.mSelf, 3, 5, 0));
        }

        @Test
        void onlyTheAuthenticatedRunIsConnected() {
            assertThat(mFirst.mNode.connected(mSecond.mSelf.vm(), new Incarnation(1))).isFalse();
            assertThat(mFirst.mNode.connected(new VmId("entry-9"), new Incarnation(1))).isFalse();
        }

        @Test
        void configurationOfOneMegabyteIsFetched() {
            ConfigurationText text = new ConfigurationText(8, "b".repeat(1_000_000), "ü = 1");
            mSecond.mConfiguration = text;
            mFirst.mNode.requestConfiguration(mSecond.mSelf.vm(), 8);
            mFirst.mNode.requestConfiguration(mSecond.mSelf.vm(), 7);
            await().until(() -> !mFirst.mConfigurations.isEmpty());
            assertThat(mFirst.mConfigurations).containsExactly(text);
        }

        @Test
        void lossIsReportedOnceAndTheNodeDialsAgain() throws IOException {
            mSecond.close();
            await().until(() -> mFirst.mDisconnected.size() == 1);
            assertThat(mFirst.connected(mSecond)).isFalse();
            TestNode again = new TestNode("entry-2", Fixtures.SECRET);
            try {
                mFirst.mNode.connectTo(List.of(again.address()));
                await().until(() -> mFirst.connected(again));
            } finally {
                again.close();
            }
        }

        @Test
        void idleConnectionOutlivesTheSilenceTimeout() {
            Duration longer = Duration.ofMillis(PeerLimits.SILENCE_TIMEOUT_MILLIS * 3 / 2);
            await().during(longer)
                    .atMost(longer.multipliedBy(2))
                    .until(() -> mFirst.connected(mSecond) && mSecond.mDisconnected.isEmpty());
        }
    }

    /** Tests forwarded requests. */
    @Nested
    class Forwarding {

        @Test
        void largestBodyIsAnsweredCompletely() {
            byte[] body = new byte[PeerLimits.BODY_BYTES];
            new Random(5).nextBytes(body);
            mSecond.mService = PeerNodeTest::echo;
            RecordingSink sink = new RecordingSink();
            forward(body, sink);
            await().until(sink::ended);
            assertThat(sink.head()).isEqualTo(OK);
            assertThat(sink.body()).isEqualTo(body);
            assertThat(mSecond.mForwarded.get(0).path())
                    .isEqualTo("/services/enrolment/seats?course=7");
        }

        @Test
        void refusalKeepsKindAndDetail() {
            Refusal refusal = new Refusal(ErrorKind.TICKET_IN_PROGRESS, "Still running.");
            mSecond.mService =
                    (request, sink) -> {
                        sink.refuse(refusal);
                        return () -> {};
                    };
            RecordingSink sink = new RecordingSink();
            forward(new byte[0], sink);
            await().until(() -> sink.refusal() != null);
            assertThat(sink.refusal()).isEqualTo(refusal);
        }

        @Test
        void unconnectedPeerIsRefusedAsNotRun() {
            RecordingSink sink = new RecordingSink();
            mFirst.mNode.forward(
                    new VmId("entry-9"),
                    Fixtures.request(mFirst.mSelf, "request-1", new byte[0]),
                    sink);
            await().until(() -> sink.refusal() != null);
            assertThat(sink.refusal().kind()).isEqualTo(ErrorKind.NO_BACKEND_SERVER);
        }

        @Test
        void slowReaderStopsItsOwnAnswerAndNoOther() {
            AtomicInteger written = new AtomicInteger();
            mSecond.mService = (request, sink) -> stream(sink, written);
            CompletableFuture<Void> writeResult = new CompletableFuture<>();
            RecordingSink slow = new RecordingSink(writeResult);
            forward(new byte[0], slow);
            await().until(() -> written.get() >= 3);
            mSecond.mService = PeerNodeTest::echo;
            RecordingSink fast = new RecordingSink();
            byte[] body = new byte[2_000_000];
            forward(body, fast);
            await().until(fast::ended);
            mFirst.mNode.broadcast(Fixtures.summary(mFirst.mSelf, 1, 0, 0));
            await().until(() -> mSecond.mHeartbeats.size() == 1);
            assertThat(fast.body()).hasSize(body.length);
            assertThat(written.get() * PeerLimits.CHUNK_BYTES)
                    .isLessThanOrEqualTo(PeerLimits.STREAM_WINDOW_BYTES + PeerLimits.CHUNK_BYTES);
            assertThat(slow.ended()).isFalse();
            writeResult.complete(null);
            await().until(slow::ended);
            assertThat(slow.body()).hasSize(20 * PeerLimits.CHUNK_BYTES);
        }

        private static Cancellation stream(AnswerSink sink, AtomicInteger written) {
            sink.head(OK);
            writeNext(sink, written);
            return () -> {};
        }

        private static void writeNext(AnswerSink sink, AtomicInteger written) {
            if (written.incrementAndGet() > 20) {
                sink.end();
                return;
            }
            sink.write(ByteBuffer.allocate(PeerLimits.CHUNK_BYTES))
                    .thenRun(() -> writeNext(sink, written));
        }

        @Test
        void cancelStopsBothSides() {
            AtomicBoolean cancelled = new AtomicBoolean();
            CompletableFuture<AnswerSink> served = new CompletableFuture<>();
            mSecond.mService =
                    (request, sink) -> {
                        sink.head(OK);
                        served.complete(sink);
                        return () -> cancelled.set(true);
                    };
            RecordingSink sink = new RecordingSink();
            Cancellation cancellation = forward(new byte[10], sink);
            await().until(() -> sink.head() != null);
            cancellation.cancel();
            await().untilTrue(cancelled);
            assertThat(served.join().write(ByteBuffer.allocate(1))).isCompletedExceptionally();
            served.join().end();
            assertThat(sink.ended()).isFalse();
            assertThat(sink.refusal()).isNull();
        }

        @Test
        void lossOfTheConnectionCancelsTheServedRequest() {
            AtomicBoolean cancelled = new AtomicBoolean();
            mSecond.mService = (request, sink) -> () -> cancelled.set(true);
            forward(new byte[10], new RecordingSink());
            await().until(() -> mSecond.mForwarded.size() == 1);
            mFirst.close();
            await().untilTrue(cancelled);
        }

        @RepeatedTest(10)
        void nodeThatStopsSendsTheRestOfItsAnswers() {
            byte[] body = new byte[PeerLimits.STREAM_WINDOW_BYTES];
            CompletableFuture<Void> answered = new CompletableFuture<>();
            mSecond.mService =
                    (request, sink) -> {
                        Cancellation cancellation = echo(request, sink);
                        answered.complete(null);
                        return cancellation;
                    };
            RecordingSink sink = new RecordingSink();
            forward(body, sink);
            for (int sequence = 1; !answered.isDone(); sequence++) {
                mFirst.mNode.broadcast(Fixtures.summary(mFirst.mSelf, sequence, 22, 3));
            }
            mSecond.close();
            await().until(() -> sink.ended() || sink.refusal() != null);
            assertThat(sink.ended()).isTrue();
            assertThat(sink.body()).hasSize(body.length);
        }

        @Test
        void formerPeerKeepsItsConnectionUntilItsAnswersEnd() {
            CompletableFuture<AnswerSink> served = serveLater();
            RecordingSink sink = new RecordingSink();
            forward(new byte[0], sink);
            await().until(served::isDone);
            mFirst.mNode.connectTo(List.of());
            Duration idle = Duration.ofMillis(PeerLimits.TEMPORARY_IDLE_MILLIS);
            await().during(idle)
                    .atMost(idle.multipliedBy(2))
                    .until(() -> mFirst.connected(mSecond));
            served.join().head(OK);
            served.join().end();
            await().until(sink::ended);
            await().until(() -> !mFirst.connected(mSecond));
        }

        @Test
        void peerThatReturnsKeepsItsConnection() {
            CompletableFuture<AnswerSink> served = serveLater();
            RecordingSink sink = new RecordingSink();
            forward(new byte[0], sink);
            await().until(served::isDone);
            mFirst.mNode.connectTo(List.of());
            mFirst.mNode.connectTo(List.of(mSecond.address()));
            served.join().head(OK);
            served.join().end();
            await().until(() -> sink.ended() || sink.refusal() != null);
            assertThat(sink.ended()).isTrue();
            assertThat(mFirst.connected(mSecond)).isTrue();
        }

        private CompletableFuture<AnswerSink> serveLater() {
            CompletableFuture<AnswerSink> served = new CompletableFuture<>();
            mSecond.mService =
                    (request, sink) -> {
                        served.complete(sink);
                        return () -> {};
                    };
            return served;
        }
    }

    /** Tests entry VMs that are not in the list of peers and are dialled for single requests. */
    @Nested
    class DialledOnDemand {

        private TestNode mThird;

        @BeforeEach
        void start() throws IOException {
            mThird = new TestNode("entry-3", Fixtures.SECRET);
            mThird.mService = PeerNodeTest::echo;
        }

        @AfterEach
        void stop() {
            mThird.close();
        }

        private boolean reach(Incarnation incarnation) {
            return mFirst.mNode.reach(mThird.mSelf.vm(), incarnation).join();
        }

        @Test
        void allowedEntryVmIsDialledAndDisconnectedAfterUse() {
            mFirst.mNode.allowDialling(List.of(mThird.address()));
            assertThat(reach(mThird.mSelf.incarnation())).isTrue();
            RecordingSink sink = new RecordingSink();
            ForwardedRequest request = Fixtures.request(mFirst.mSelf, "request-1", new byte[9]);
            mFirst.mNode.forward(mThird.mSelf.vm(), request, sink);
            await().until(sink::ended);
            await().until(() -> !mFirst.connected(mThird));
        }

        @Test
        void otherRunIsNotReached() {
            mFirst.mNode.allowDialling(List.of(mThird.address()));
            assertThat(reach(new Incarnation(1))).isFalse();
        }

        @Test
        void unlistedOrStoppedEntryVmIsNotReached() {
            assertThat(reach(mThird.mSelf.incarnation())).isFalse();
            mFirst.mNode.allowDialling(List.of(mThird.address()));
            mThird.close();
            assertThat(reach(mThird.mSelf.incarnation())).isFalse();
        }
    }
}
