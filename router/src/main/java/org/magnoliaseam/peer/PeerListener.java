package org.magnoliaseam.peer;

import java.io.BufferedInputStream;
import java.io.Closeable;
import java.io.DataInputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/** Accepts and authenticates the connections that peers dial. */
final class PeerListener {

    /** The logger of this class. */
    private static final Logger LOG = LogManager.getLogger(PeerListener.class);

    /** The length of the queue of connections that wait to be accepted. */
    private static final int BACKLOG = 128;

    /** The state shared by all connections. */
    private final PeerContext mContext;

    /** Accepts connections. */
    private final ServerSocket mServer;

    /** Ends the wait before the next accept when the listener is closed. */
    private final CountDownLatch mStopped = new CountDownLatch(1);

    /** The connections that have not yet authenticated, the oldest first. */
    private final Set<Socket> mUnauthenticated = new LinkedHashSet<>();

    /** The authenticated connections by the run of the peer. */
    private final Map<PeerIdentity, PeerConnection> mConnections = new ConcurrentHashMap<>();

    /**
     * Creates a listener.
     *
     * @param context the state shared by all connections
     * @throws IOException if no socket can be created
     */
    PeerListener(PeerContext context) throws IOException {
        mContext = context;
        mServer = new ServerSocket();
    }

    /**
     * Starts to accept connections.
     *
     * @param address the address to listen on
     * @throws IOException if the address cannot be used
     */
    void start(InetSocketAddress address) throws IOException {
        mServer.setReuseAddress(true);
        mServer.bind(address, BACKLOG);
        mContext.threads().newThread(this::acceptLoop).start();
    }

    /**
     * Returns the address that the listener is bound to.
     *
     * @return the address
     */
    InetSocketAddress boundAddress() {
        return (InetSocketAddress) mServer.getLocalSocketAddress();
    }

    /** Closes the connections whose writers are stuck. */
    void tick() {
        mConnections.values().forEach(PeerConnection::checkWriter);
    }

    /**
     * Stops accepting and lets the connections end once the waiting frames were sent.
     *
     * @return the connections
     */
    List<PeerConnection> finish() {
        mStopped.countDown();
        closeQuietly(mServer);
        mConnections.values().forEach(PeerConnection::finish);
        return List.copyOf(mConnections.values());
    }

    /** Closes the listener and its connections. */
    void close() {
        mStopped.countDown();
        closeQuietly(mServer);
        synchronized (mUnauthenticated) {
            mUnauthenticated.forEach(PeerListener::closeQuietly);
        }
        mConnections.values().forEach(connection -> connection.close("the process is stopping"));
    }

    /** Accepts connections until the listener is closed. */
    private void acceptLoop() {
        while (!mServer.isClosed()) {
            try {
                Socket socket = mServer.accept();
                admit(socket);
                mContext.threads().newThread(() -> serve(socket)).start();
            } catch (IOException e) {
                LOG.debug("peer: accepting a connection failed.");
                awaitRetry();
            }
        }
    }

    /** Waits before the next accept, or until the listener is closed. */
    private void awaitRetry() {
        try {
            mStopped.await(PeerLimits.ACCEPT_RETRY_MILLIS, TimeUnit.MILLISECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            closeQuietly(mServer);
        }
    }

    /**
     * Records a connection that has not authenticated. If there are too many, the oldest is closed,
     * so that idle connections of an unauthenticated client do not block peers.
     *
     * @param socket the connection
     */
    private void admit(Socket socket) {
        synchronized (mUnauthenticated) {
            mUnauthenticated.add(socket);
            if (mUnauthenticated.size() > PeerLimits.UNAUTHENTICATED_CONNECTIONS) {
                Iterator<Socket> oldest = mUnauthenticated.iterator();
                closeQuietly(oldest.next());
                oldest.remove();
                LOG.debug("peer: too many connections wait to authenticate; closed the oldest.");
            }
        }
    }

    /**
     * Authenticates a connection and transfers its frames until it ends.
     *
     * @param socket the connection
     */
    private void serve(Socket socket) {
        try (socket) {
            socket.setTcpNoDelay(true);
            socket.setSendBufferSize(PeerLimits.SOCKET_BUFFER_BYTES);
            socket.setSoTimeout(PeerLimits.HANDSHAKE_TIMEOUT_MILLIS);
            DataInputStream in =
                    new DataInputStream(new BufferedInputStream(socket.getInputStream()));
            run(socket, in, authenticate(socket, in));
        } catch (FrameException e) {
            LOG.warn("peer: refused a connection: {}.", e.fault().text());
        } catch (IOException e) {
            LOG.warn("peer: refused a connection: the connection failed.");
        }
    }

    /**
     * Runs the handshake within its time limit.
     *
     * @param socket the connection
     * @param in the input of the connection
     * @return the session
     * @throws IOException if the connection fails
     * @throws FrameException if the peer does not prove that it holds the key
     */
    private Session authenticate(Socket socket, DataInputStream in)
            throws IOException, FrameException {
        Future<?> limit =
                mContext.timers()
                        .schedule(
                                () -> closeQuietly(socket),
                                PeerLimits.HANDSHAKE_TIMEOUT_MILLIS,
                                TimeUnit.MILLISECONDS);
        try {
            return mContext.handshake().accept(in, socket.getOutputStream());
        } finally {
            limit.cancel(false);
            synchronized (mUnauthenticated) {
                mUnauthenticated.remove(socket);
            }
        }
    }

    /**
     * Transfers frames until the connection ends. A newer connection of the same run replaces an
     * older one.
     *
     * @param socket the connection
     * @param in the input of the connection
     * @param session what the handshake has established
     */
    private void run(Socket socket, DataInputStream in, Session session) {
        PeerIdentity peer = session.peer();
        Outbox outbox = new Outbox();
        ServedStreams streams = new ServedStreams(peer, outbox, mContext);
        PeerConnection connection =
                new PeerConnection(socket, session, outbox, streams, mContext.clock());
        PeerConnection older = mConnections.put(peer, connection);
        if (older != null) {
            older.close("a newer connection of the peer replaces it");
        }
        mContext.dispatcher().up(peer.vm());
        try {
            if (mConnections.size() > PeerLimits.ACCEPTED_CONNECTIONS) {
                connection.close("there are too many connections");
                return;
            }
            LOG.info("peer: {} run {} has connected.", peer.vm(), peer.incarnation());
            outbox.pong();
            connection.run(in, mContext.threads());
        } finally {
            mConnections.remove(peer, connection);
            mContext.dispatcher().down(peer.vm());
        }
    }

    /**
     * Closes a socket.
     *
     * @param socket the socket
     */
    private static void closeQuietly(Closeable socket) {
        try {
            socket.close();
        } catch (IOException e) {
            LOG.debug("peer: closing a connection failed.");
        }
    }
}
