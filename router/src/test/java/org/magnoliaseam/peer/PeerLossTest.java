package org.magnoliaseam.peer;

import static org.assertj.core.api.Assertions.assertThat;
import static org.awaitility.Awaitility.await;

import java.io.IOException;
import java.net.ServerSocket;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.magnoliaseam.error.ErrorKind;
import org.magnoliaseam.exchange.AnswerHead;
import org.magnoliaseam.exchange.Cancellation;
import org.magnoliaseam.fleet.PeerSummary;

/** Tests a node against a peer that stops reading, sends invalid answers or disconnects. */
class PeerLossTest {

    private static final AnswerHead OK = new AnswerHead(200, List.of());

    private TestNode mNode;
    private ServerSocket mServer;
    private RawPeer mPeer;

    @BeforeEach
    void connect() throws Exception {
        mNode = new TestNode("entry-1", Fixtures.SECRET);
        mServer = RawPeer.listen();
        mServer.setReceiveBufferSize(PeerLimits.CHUNK_BYTES);
        mNode.mNode.connectTo(List.of(RawPeer.address(mServer)));
        mPeer = RawPeer.acceptAuthenticated(mServer);
        await().until(this::connected);
    }

    @AfterEach
    void close() throws IOException {
        mPeer.close();
        mServer.close();
        mNode.close();
    }

    private boolean connected() {
        return mNode.mNode.connected(RawPeer.SELF.vm(), RawPeer.SELF.incarnation());
    }

    private Cancellation forward(int bodyBytes, RecordingSink sink) {
        return mNode.mNode.forward(
                RawPeer.SELF.vm(),
                Fixtures.request(mNode.mSelf, "request-1", new byte[bodyBytes]),
                sink);
    }

    private static ErrorKind awaitRefusal(RecordingSink sink) {
        await().until(() -> sink.refusal() != null);
        return sink.refusal().kind();
    }

    /** Tests the refusal after the connection was lost. */
    @Nested
    class Loss {

        @Test
        void incompletelySentRequestIsRefusedAsNotRun() throws Exception {
            RecordingSink sink = new RecordingSink();
            forward(PeerLimits.BODY_BYTES, sink);
            mPeer.awaitFrame(FrameType.BODY_CHUNK);
            mPeer.close();
            assertThat(awaitRefusal(sink)).isEqualTo(ErrorKind.NO_BACKEND_SERVER);
        }

        @Test
        void peerThatIsDialledAgainIsReached() throws Exception {
            mPeer.close();
            await().until(() -> !connected());
            CompletableFuture<Boolean> reached =
                    mNode.mNode.reach(RawPeer.SELF.vm(), RawPeer.SELF.incarnation());
            mPeer = RawPeer.acceptAuthenticated(mServer);
            assertThat(reached.get(5, TimeUnit.SECONDS)).isTrue();
        }

        @Test
        void peerThatDoesNotComeBackIsNotReached() throws Exception {
            mServer.close();
            mPeer.close();
            await().until(() -> !connected());
            CompletableFuture<Boolean> reached =
                    mNode.mNode.reach(RawPeer.SELF.vm(), RawPeer.SELF.incarnation());
            assertThat(reached.get(5, TimeUnit.SECONDS)).isFalse();
        }

        @Test
        void requestThatWasSentHasAnUnknownOutcome() throws Exception {
            RecordingSink sink = new RecordingSink();
            forward(10, sink);
            mPeer.awaitFrame(FrameType.BODY_CHUNK);
            mPeer.close();
            assertThat(awaitRefusal(sink)).isEqualTo(ErrorKind.OUTCOME_UNKNOWN);
        }

        @Test
        void truncatedAnswerIsRefusedAfterItsParts() throws Exception {
            RecordingSink sink = new RecordingSink();
            forward(0, sink);
            mPeer.awaitFrame(FrameType.OPEN);
            mPeer.send(new Frame.Head(1, OK));
            mPeer.send(new Frame.AnswerChunk(1, new byte[] {5}));
            await().until(() -> sink.body().length == 1);
            mPeer.close();
            assertThat(awaitRefusal(sink)).isEqualTo(ErrorKind.OUTCOME_UNKNOWN);
            assertThat(sink.ended()).isFalse();
        }

        @Test
        void completeAnswerIsNotRefusedAfterLoss() throws Exception {
            RecordingSink sink = new RecordingSink();
            forward(0, sink);
            mPeer.awaitFrame(FrameType.OPEN);
            mPeer.send(new Frame.Head(1, OK));
            mPeer.send(new Frame.End(1));
            await().until(sink::ended);
            mPeer.close();
            await().until(() -> !mNode.mDisconnected.isEmpty());
            assertThat(sink.refusal()).isNull();
        }
    }

    /** Tests answers that violate the protocol. */
    @Nested
    class InvalidAnswers {

        @Test
        void lateAnswerIsDroppedAndCounted() throws Exception {
            RecordingSink sink = new RecordingSink();
            Cancellation cancellation = forward(0, sink);
            mPeer.awaitFrame(FrameType.OPEN);
            cancellation.cancel();
            mPeer.awaitFrame(FrameType.CANCEL);
            mPeer.send(new Frame.Head(1, OK));
            mPeer.send(new Frame.End(1));
            await().until(() -> mNode.mNode.droppedAnswers() == 2);
            assertThat(sink.head()).isNull();
            assertThat(connected()).isTrue();
        }

        @Test
        void bodyBeyondTheWindowClosesTheConnection() throws Exception {
            RecordingSink sink = new RecordingSink(new CompletableFuture<>());
            forward(0, sink);
            mPeer.awaitFrame(FrameType.OPEN);
            mPeer.send(new Frame.Head(1, OK));
            int chunks = PeerLimits.STREAM_WINDOW_BYTES / PeerLimits.CHUNK_BYTES + 1;
            for (int i = 0; i < chunks; i++) {
                mPeer.send(new Frame.AnswerChunk(1, new byte[PeerLimits.CHUNK_BYTES]));
            }
            await().until(() -> mNode.mDisconnected.contains(RawPeer.SELF.vm()));
        }

        @Test
        void bodyBeforeTheHeadClosesTheConnection() throws Exception {
            RecordingSink sink = new RecordingSink();
            forward(0, sink);
            mPeer.awaitFrame(FrameType.OPEN);
            mPeer.send(new Frame.AnswerChunk(1, new byte[] {5}));
            assertThat(awaitRefusal(sink)).isEqualTo(ErrorKind.OUTCOME_UNKNOWN);
        }
    }

    /** Tests a peer that stops reading. */
    @Nested
    class StuckPeer {

        @Test
        void newerHeartbeatReplacesTheWaitingOne() throws Exception {
            forward(PeerLimits.BODY_BYTES, new RecordingSink());
            mPeer.awaitFrame(FrameType.BODY_CHUNK);
            await().pollDelay(Duration.ofMillis(200)).until(() -> true);
            for (int sequence = 1; sequence <= 1_000; sequence++) {
                mNode.mNode.broadcast(Fixtures.summary(mNode.mSelf, sequence, 22, 0));
            }
            Frame frame = mPeer.receive();
            while (!(frame instanceof Frame.Heartbeat)) {
                frame = mPeer.receive();
            }
            PeerSummary summary = ((Frame.Heartbeat) frame).summary();
            assertThat(summary.sequence()).isEqualTo(1_000);
        }

        @Test
        void peerThatAnswersNoPingIsDisconnected() {
            await().until(() -> mNode.mDisconnected.contains(RawPeer.SELF.vm()));
            assertThat(connected()).isFalse();
        }
    }
}
