package org.magnoliaseam.peer;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** Relays connections to an address and closes them on demand. */
final class DisconnectingRelay implements AutoCloseable {

    private final ServerSocket mServer = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
    private final InetSocketAddress mTarget;
    private final Set<Socket> mSockets = ConcurrentHashMap.newKeySet();

    DisconnectingRelay(InetSocketAddress target) throws IOException {
        mTarget = target;
        TestNode.daemon(this::acceptLoop).start();
    }

    InetSocketAddress address() {
        return (InetSocketAddress) mServer.getLocalSocketAddress();
    }

    void closeConnections() {
        for (Socket socket : mSockets) {
            mSockets.remove(socket);
            closeQuietly(socket);
        }
    }

    private void acceptLoop() {
        while (!mServer.isClosed()) {
            try {
                Socket near = mServer.accept();
                Socket far = new Socket(mTarget.getAddress(), mTarget.getPort());
                mSockets.add(near);
                mSockets.add(far);
                TestNode.daemon(() -> pump(near, far)).start();
                TestNode.daemon(() -> pump(far, near)).start();
            } catch (IOException e) {
                continue;
            }
        }
    }

    private static void pump(Socket from, Socket to) {
        try (from;
                to) {
            from.getInputStream().transferTo(to.getOutputStream());
        } catch (IOException e) {
            closeQuietly(to);
        }
    }

    private static void closeQuietly(Socket socket) {
        try {
            socket.close();
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }

    @Override
    public void close() throws IOException {
        mServer.close();
        closeConnections();
    }
}
