package org.magnoliaseam.peer;

import java.io.BufferedInputStream;
import java.io.DataInputStream;
import java.io.IOException;
import java.net.Socket;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.Future;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.LongAdder;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.magnoliaseam.settings.PeerAddress;

/** Maintains one dialled connection to a peer and reconnects when it is lost. */
final class Dialer implements Runnable {

    /** The logger of this class. */
    private static final Logger LOG = LogManager.getLogger(Dialer.class);

    /** The largest random addition to a retry delay, as a fraction of the delay. */
    private static final double JITTER = 0.5;

    /** The number of failures after which the retry delay is no longer doubled. */
    private static final int DOUBLINGS = 10;

    /** The peer. */
    private final PeerAddress mPeer;

    /** The state shared by all connections. */
    private final PeerContext mContext;

    /** Counts the answer frames that belong to no stream. */
    private final LongAdder mDropped;

    /** Ends the retry delay when the dialer is stopped. */
    private final CountDownLatch mStopped = new CountDownLatch(1);

    /** The socket in use, or null. */
    private volatile Socket mSocket;

    /** The connection that is up, or null. */
    private volatile DialledLink mLink;

    /** Completes when the first connection attempt, or the first one after a loss, has ended. */
    private volatile CompletableFuture<Void> mSettled = new CompletableFuture<>();

    /** Whether to dial again when the connection is lost. */
    private boolean mReconnect;

    /** Whether the dialer has ended. */
    private boolean mEnded;

    /**
     * Creates a dialer.
     *
     * @param peer the peer
     * @param context the state shared by all connections
     * @param dropped counts the answer frames that belong to no stream
     * @param reconnect whether to dial again when the connection is lost
     */
    Dialer(PeerAddress peer, PeerContext context, LongAdder dropped, boolean reconnect) {
        mPeer = peer;
        mContext = context;
        mDropped = dropped;
        mReconnect = reconnect;
    }

    /**
     * Returns the peer.
     *
     * @return the peer with its address
     */
    PeerAddress peer() {
        return mPeer;
    }

    /**
     * Returns the connection that is up.
     *
     * @return the connection, or empty
     */
    Optional<DialledLink> link() {
        return Optional.ofNullable(mLink);
    }

    @Override
    public void run() {
        int failures = 0;
        do {
            if (connectOnce()) {
                failures = 0;
            } else {
                failures++;
                mSettled.complete(null);
            }
        } while (awaitRedial(failures));
        mSettled.complete(null);
    }

    /**
     * Returns the completion of the first connection attempt, after a loss of the first one since.
     *
     * @return completes when the attempt has succeeded or failed
     */
    CompletableFuture<Void> settled() {
        return mSettled;
    }

    /**
     * Changes whether to dial again when the connection is lost.
     *
     * @param reconnect whether to dial again
     * @return whether the dialer is still active
     */
    synchronized boolean setReconnect(boolean reconnect) {
        mReconnect = reconnect;
        return !mEnded;
    }

    /**
     * Returns whether the dialer has ended.
     *
     * @return true if it no longer dials
     */
    synchronized boolean ended() {
        return mEnded;
    }

    /** Sends a ping if one is due and closes a connection whose writer is stuck. */
    void tick() {
        DialledLink link = mLink;
        if (link != null) {
            link.outbox().pingIfIdle();
            link.connection().checkWriter();
        }
    }

    /**
     * Stops dialling and lets the connection end once the waiting frames were sent.
     *
     * @return the connection, or empty if none is up
     */
    Optional<PeerConnection> finish() {
        mStopped.countDown();
        Optional<PeerConnection> connection = link().map(DialledLink::connection);
        connection.ifPresent(PeerConnection::finish);
        return connection;
    }

    /** Stops dialling and closes the connection. */
    void stop() {
        mStopped.countDown();
        DialledLink link = mLink;
        if (link != null) {
            link.connection().close("it is no longer needed");
        }
        closeQuietly(mSocket);
    }

    /**
     * Returns whether the dialer was stopped.
     *
     * @return true if it was
     */
    private boolean stopped() {
        return mStopped.getCount() == 0;
    }

    /**
     * Waits before the next connection attempt unless the dialer is to end.
     *
     * @param failures the failed attempts since the last success
     * @return whether to dial again
     */
    private boolean awaitRedial(int failures) {
        if (mayDialAgain()) {
            awaitRetry(failures);
        }
        return mayDialAgain();
    }

    /**
     * Returns whether to dial again; if not, marks the dialer as ended.
     *
     * @return true if the dialer is to dial again
     */
    private synchronized boolean mayDialAgain() {
        mEnded = !mReconnect || stopped();
        return !mEnded;
    }

    /**
     * Dials once and, if that succeeds, returns when the connection has ended.
     *
     * @return whether the connection was established
     */
    private boolean connectOnce() {
        try (Socket socket = new Socket()) {
            mSocket = socket;
            if (stopped()) {
                return false;
            }
            socket.setTcpNoDelay(true);
            socket.setSendBufferSize(PeerLimits.SOCKET_BUFFER_BYTES);
            socket.connect(mPeer.address(), PeerLimits.CONNECT_TIMEOUT_MILLIS);
            DataInputStream in =
                    new DataInputStream(new BufferedInputStream(socket.getInputStream()));
            Session session = authenticate(socket, in);
            run(socket, in, session);
            return true;
        } catch (FrameException e) {
            LOG.warn("peer: dialling {} failed: {}.", mPeer.vm(), e.fault().text());
        } catch (IOException e) {
            LOG.debug("peer: dialling {} failed: no connection.", mPeer.vm());
        }
        return false;
    }

    /**
     * Runs the handshake and waits for the first frame, by which the peer confirms its success.
     *
     * @param socket the connection
     * @param in the input of the connection
     * @return the session
     * @throws IOException if the connection fails
     * @throws FrameException if the peer does not authenticate as the expected VM
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
            Session session = mContext.handshake().dial(mPeer.vm(), in, socket.getOutputStream());
            FrameStreams.readAuthenticated(in, session.incoming());
            return session;
        } finally {
            limit.cancel(false);
        }
    }

    /**
     * Transfers frames until the connection ends.
     *
     * @param socket the connection
     * @param in the input of the connection
     * @param session what the handshake has established
     */
    private void run(Socket socket, DataInputStream in, Session session) {
        Outbox outbox = new Outbox();
        ForwardStreams streams = new ForwardStreams(outbox, mContext, mDropped);
        PeerConnection connection =
                new PeerConnection(socket, session, outbox, streams, mContext.clock());
        mContext.dispatcher().up(mPeer.vm());
        LOG.info("peer: connected to {} run {}.", mPeer.vm(), session.peer().incarnation());
        outbox.ping();
        mLink = new DialledLink(connection, outbox, streams);
        mSettled.complete(null);
        try {
            connection.run(in, mContext.threads());
        } finally {
            mSettled = new CompletableFuture<>();
            mLink = null;
            mContext.dispatcher().down(mPeer.vm());
        }
    }

    /**
     * Waits before the next connection attempt, with exponential backoff.
     *
     * @param failures the failed attempts since the last success
     */
    private void awaitRetry(int failures) {
        long doubled = (long) PeerLimits.FIRST_RETRY_MILLIS << Math.min(failures, DOUBLINGS);
        long base = Math.min(doubled, PeerLimits.LAST_RETRY_MILLIS);
        long delay = base + (long) (base * JITTER * ThreadLocalRandom.current().nextDouble());
        try {
            mStopped.await(delay, TimeUnit.MILLISECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            mStopped.countDown();
        }
    }

    /**
     * Closes a socket.
     *
     * @param socket the socket, or null
     */
    private static void closeQuietly(Socket socket) {
        try {
            if (socket != null) {
                socket.close();
            }
        } catch (IOException e) {
            LOG.debug("peer: closing a connection failed.");
        }
    }
}
