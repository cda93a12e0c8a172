package org.magnoliaseam.peer;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;
import static org.awaitility.Awaitility.await;

import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.magnoliaseam.model.VmId;

/** Tests how a node handles peers that violate the protocol. */
class PeerSecurityTest {

    private static final byte[] OTHER_SECRET = {1, 2, 3};

    private TestNode mNode;

    @BeforeEach
    void start() throws IOException {
        mNode = new TestNode("entry-1", Fixtures.SECRET);
    }

    @AfterEach
    void stop() {
        mNode.close();
    }

    private RawPeer dial() throws IOException {
        return RawPeer.dial(mNode.mNode.boundAddress());
    }

    /** Tests connections that have not authenticated. */
    @Nested
    class BeforeAuthentication {

        @Test
        void nodesWithDifferentKeysNeverConnect() throws IOException {
            try (TestNode other = new TestNode("entry-2", OTHER_SECRET)) {
                mNode.mNode.connectTo(List.of(other.address()));
                other.mNode.connectTo(List.of(mNode.address()));
                await().during(Duration.ofMillis(600))
                        .until(() -> !mNode.connected(other) && !other.connected(mNode));
                other.mNode.broadcast(Fixtures.summary(other.mSelf, 1, 0, 0));
                assertThat(mNode.mHeartbeats).isEmpty();
            }
        }

        @Test
        void acceptingSideIsRefusedIfItIsAnotherVm() throws IOException {
            try (RawPeer peer = dial()) {
                Handshake handshake = RawPeer.handshake(Fixtures.SECRET);
                assertThatThrownBy(() -> handshake.dial(new VmId("entry-2"), peer.mIn, peer.mOut))
                        .isInstanceOf(FrameException.class)
                        .hasMessage(FrameFault.UNAUTHENTICATED.text());
            }
        }

        @Test
        void reflectedChallengeIsRefused() throws IOException, FrameException {
            try (RawPeer peer = dial()) {
                FrameStreams.writePlain(peer.mOut, greeting());
                FrameStreams.writePlain(peer.mOut, FrameStreams.readPlain(peer.mIn));
                peer.awaitClosed();
                assertThat(mNode.mDisconnected).isEmpty();
            }
        }

        private byte[] greeting() throws IOException, FrameException {
            ByteArrayOutputStream greeting = new ByteArrayOutputStream();
            DataInputStream closed = new DataInputStream(InputStream.nullInputStream());
            assertThatThrownBy(
                            () ->
                                    RawPeer.handshake(OTHER_SECRET)
                                            .dial(mNode.mSelf.vm(), closed, greeting))
                    .isInstanceOf(FrameException.class);
            byte[] framed = greeting.toByteArray();
            return Arrays.copyOfRange(framed, Integer.BYTES, framed.length);
        }

        @Test
        void oversizedGreetingIsRefusedWithoutReadingIt() throws IOException {
            try (RawPeer peer = dial()) {
                peer.mOut.write(ByteBuffer.allocate(4).putInt(1_025).array());
                peer.awaitClosed();
            }
        }

        @Test
        void garbageIsRefused() throws IOException {
            try (RawPeer peer = dial()) {
                FrameStreams.writePlain(peer.mOut, "GET / HTTP/1.1".getBytes());
                peer.awaitClosed();
            }
        }

        @Test
        void silentConnectionIsClosedAfterTheTimeLimit() throws IOException {
            try (RawPeer peer = dial()) {
                peer.mOut.write(0);
                peer.awaitClosed();
            }
        }

        @Test
        void manySilentConnectionsDoNotBlockPeers() throws Exception {
            List<RawPeer> silent = new ArrayList<>();
            for (int i = 0; i < PeerLimits.UNAUTHENTICATED_CONNECTIONS + 8; i++) {
                silent.add(dial());
            }
            try (RawPeer peer = RawPeer.dialAuthenticated(mNode)) {
                assertThat(peer.receive()).isEqualTo(new Frame.Pong());
                silent.get(0).awaitClosed();
            } finally {
                for (RawPeer peer : silent) {
                    peer.close();
                }
            }
        }
    }

    /** Tests connections that violate the protocol after the handshake. */
    @Nested
    class AfterAuthentication {

        private final byte[] mHeartbeat =
                FrameCodec.encode(new Frame.Heartbeat(Fixtures.summary(RawPeer.SELF, 1, 0, 0)));

        private void assertClosed(RawPeer peer, int heartbeats) throws IOException {
            peer.awaitClosed();
            await().until(() -> mNode.mDisconnected.contains(RawPeer.SELF.vm()));
            assertThat(mNode.mHeartbeats).hasSize(heartbeats);
        }

        @Test
        void replayedFrameClosesTheConnection() throws Exception {
            try (RawPeer peer = RawPeer.dialAuthenticated(mNode)) {
                ByteArrayOutputStream frame = new ByteArrayOutputStream();
                FrameStreams.writeAuthenticated(frame, peer.mSession.outgoing(), mHeartbeat);
                peer.mOut.write(frame.toByteArray());
                await().until(() -> mNode.mHeartbeats.size() == 1);
                peer.mOut.write(frame.toByteArray());
                assertClosed(peer, 1);
            }
        }

        @Test
        void reorderedFrameClosesTheConnection() throws Exception {
            try (RawPeer peer = RawPeer.dialAuthenticated(mNode)) {
                peer.mSession.outgoing().next(new byte[0]);
                FrameStreams.writeAuthenticated(peer.mOut, peer.mSession.outgoing(), mHeartbeat);
                assertClosed(peer, 0);
            }
        }

        @Test
        void tamperedFrameClosesTheConnection() throws Exception {
            try (RawPeer peer = RawPeer.dialAuthenticated(mNode)) {
                ByteArrayOutputStream frame = new ByteArrayOutputStream();
                FrameStreams.writeAuthenticated(frame, peer.mSession.outgoing(), mHeartbeat);
                byte[] bytes = frame.toByteArray();
                bytes[bytes.length - 1] ^= 1;
                peer.mOut.write(bytes);
                assertClosed(peer, 0);
            }
        }

        @Test
        void oversizedFrameClosesTheConnection() throws Exception {
            try (RawPeer peer = RawPeer.dialAuthenticated(mNode)) {
                int length = PeerLimits.FRAME_BYTES + FrameAuthenticator.TAG_BYTES + 1;
                peer.mOut.write(ByteBuffer.allocate(4).putInt(length).array());
                assertClosed(peer, 0);
            }
        }

        @Test
        void truncatedFrameClosesTheConnection() throws Exception {
            try (RawPeer peer = RawPeer.dialAuthenticated(mNode)) {
                peer.mOut.write(new byte[] {0, 0, 0, 100, 1, 2});
                peer.mSocket.shutdownOutput();
                assertClosed(peer, 0);
            }
        }

        @Test
        void authenticatedGarbageClosesTheConnection() throws Exception {
            try (RawPeer peer = RawPeer.dialAuthenticated(mNode)) {
                FrameStreams.writeAuthenticated(
                        peer.mOut, peer.mSession.outgoing(), new byte[] {99, 1});
                assertClosed(peer, 0);
            }
        }

        @Test
        void heartbeatInTheNameOfAnotherVmClosesTheConnection() throws Exception {
            try (RawPeer peer = RawPeer.dialAuthenticated(mNode)) {
                peer.send(new Frame.Heartbeat(Fixtures.summary(mNode.mSelf, 1, 0, 0)));
                assertClosed(peer, 0);
            }
        }

        @Test
        void requestInTheNameOfAnotherVmClosesTheConnection() throws Exception {
            try (RawPeer peer = RawPeer.dialAuthenticated(mNode)) {
                peer.send(
                        new Frame.Open(
                                1, Fixtures.request(mNode.mSelf, "request-1", new byte[0]), 0));
                assertClosed(peer, 0);
                assertThat(mNode.mForwarded).isEmpty();
            }
        }

        @Test
        void answerOnAnAcceptedConnectionClosesIt() throws Exception {
            try (RawPeer peer = RawPeer.dialAuthenticated(mNode)) {
                peer.send(new Frame.End(1));
                assertClosed(peer, 0);
            }
        }

        @Test
        void silentPeerIsDisconnectedAfterTheTimeLimit() throws Exception {
            try (RawPeer peer = RawPeer.dialAuthenticated(mNode)) {
                assertClosed(peer, 0);
            }
        }
    }
}
