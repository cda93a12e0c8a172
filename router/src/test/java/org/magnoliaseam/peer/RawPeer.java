package org.magnoliaseam.peer;

import java.io.DataInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketException;
import org.magnoliaseam.model.Incarnation;
import org.magnoliaseam.model.VmId;
import org.magnoliaseam.settings.PeerAddress;

/** Speaks the protocol at the level of bytes and frames, so that a test can violate it. */
final class RawPeer implements AutoCloseable {

    static final PeerIdentity SELF = new PeerIdentity(new VmId("entry-7"), new Incarnation(77));

    final Socket mSocket;
    final DataInputStream mIn;
    final OutputStream mOut;
    Session mSession;

    private RawPeer(Socket socket) throws IOException {
        mSocket = socket;
        mSocket.setSoTimeout(10_000);
        mIn = new DataInputStream(socket.getInputStream());
        mOut = socket.getOutputStream();
    }

    static RawPeer dial(InetSocketAddress address) throws IOException {
        return new RawPeer(new Socket(address.getAddress(), address.getPort()));
    }

    static RawPeer dialAuthenticated(TestNode node) throws IOException, FrameException {
        RawPeer peer = dial(node.mNode.boundAddress());
        peer.mSession = handshake(Fixtures.SECRET).dial(node.mSelf.vm(), peer.mIn, peer.mOut);
        return peer;
    }

    static ServerSocket listen() throws IOException {
        return new ServerSocket(0, 10, InetAddress.getLoopbackAddress());
    }

    static PeerAddress address(ServerSocket server) {
        return new PeerAddress(SELF.vm(), (InetSocketAddress) server.getLocalSocketAddress());
    }

    static RawPeer acceptAuthenticated(ServerSocket server) throws IOException, FrameException {
        RawPeer peer = new RawPeer(server.accept());
        peer.mSession = handshake(Fixtures.SECRET).accept(peer.mIn, peer.mOut);
        peer.send(new Frame.Pong());
        return peer;
    }

    static Handshake handshake(byte[] secret) {
        return new Handshake(SELF, PeerKey.derive(secret));
    }

    void send(Frame frame) throws IOException {
        FrameStreams.writeAuthenticated(mOut, mSession.outgoing(), FrameCodec.encode(frame));
    }

    Frame receive() throws FrameException {
        byte[] payload = FrameStreams.readAuthenticated(mIn, mSession.incoming());
        return FrameCodec.decode(payload).fold(frame -> frame, fault -> null);
    }

    void awaitFrame(FrameType type) throws FrameException {
        Frame frame = receive();
        while (frame.type() != type) {
            frame = receive();
        }
    }

    /** Reads until the node closes the connection; times out if it does not. */
    void awaitClosed() throws IOException {
        try {
            while (mIn.read() >= 0) {
                continue;
            }
        } catch (SocketException e) {
            return;
        }
    }

    @Override
    public void close() throws IOException {
        mSocket.close();
    }
}
