package org.magnoliaseam.peer;

import java.io.BufferedOutputStream;
import java.io.DataInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ThreadFactory;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.magnoliaseam.error.Result;
import org.magnoliaseam.time.MonotonicClock;

/** Reads and writes the frames of one authenticated connection on a reader and a writer thread. */
final class PeerConnection {

    /** The logger of this class. */
    private static final Logger LOG = LogManager.getLogger(PeerConnection.class);

    /** The connection. */
    private final Socket mSocket;

    /** What the handshake has established. */
    private final Session mSession;

    /** The frames that wait for the writer. */
    private final Outbox mOutbox;

    /** Handles the frames that arrive. */
    private final FrameHandler mHandler;

    /** Measures the duration of writes. */
    private final MonotonicClock mClock;

    /** Whether the connection was closed. */
    private final AtomicBoolean mClosed = new AtomicBoolean();

    /** Is released when the connection has been closed. */
    private final CountDownLatch mEnd = new CountDownLatch(1);

    /** Whether a write is in progress. */
    private volatile boolean mWriting;

    /** The monotonic time at which the current write began, in nanoseconds. */
    private volatile long mWriteStartedNanos;

    /**
     * Creates a connection.
     *
     * @param socket the connection
     * @param session what the handshake has established
     * @param outbox the frames that wait for the writer
     * @param handler handles the frames that arrive
     * @param clock measures the duration of writes
     */
    PeerConnection(
            Socket socket,
            Session session,
            Outbox outbox,
            FrameHandler handler,
            MonotonicClock clock) {
        mSocket = socket;
        mSession = session;
        mOutbox = outbox;
        mHandler = handler;
        mClock = clock;
    }

    /**
     * Returns the peer.
     *
     * @return the run of the peer
     */
    PeerIdentity peer() {
        return mSession.peer();
    }

    /**
     * Reads frames until the connection ends.
     *
     * @param in the connection
     * @param threads creates the writer
     */
    void run(DataInputStream in, ThreadFactory threads) {
        threads.newThread(this::writeLoop).start();
        FrameFault fault = FrameFault.LOST;
        try {
            mSocket.setSoTimeout(PeerLimits.SILENCE_TIMEOUT_MILLIS);
            fault = readLoop(in);
        } catch (FrameException e) {
            fault = e.fault();
        } catch (IOException e) {
            fault = FrameFault.LOST;
        } catch (RuntimeException e) {
            LOG.error("peer: a frame of {} could not be handled.", peer().vm(), e);
        } finally {
            close(fault.text());
        }
    }

    /** Closes the connection if a write has exceeded its time limit. */
    void checkWriter() {
        long startedNanos = mWriteStartedNanos;
        long limitNanos = TimeUnit.MILLISECONDS.toNanos(PeerLimits.WRITE_TIMEOUT_MILLIS);
        if (mWriting && mClock.nanos() - startedNanos > limitNanos) {
            close("a write did not end within the time limit");
        }
    }

    /**
     * Sends the waiting frames and then shuts down the output. The peer then closes the connection,
     * so that no frame in transit to it is lost.
     */
    void finish() {
        mOutbox.finish();
    }

    /**
     * Waits until the connection is closed.
     *
     * @param millis the time limit in milliseconds
     * @throws InterruptedException if the thread is interrupted
     */
    void awaitEnd(long millis) throws InterruptedException {
        mEnd.await(millis, TimeUnit.MILLISECONDS);
    }

    /**
     * Closes the connection; does nothing if it is closed.
     *
     * @param reason the reason for the log
     */
    void close(String reason) {
        if (!mClosed.compareAndSet(false, true)) {
            return;
        }
        LOG.info("peer: connection to {} closed: {}.", peer().vm(), reason);
        mOutbox.close();
        try {
            mSocket.close();
        } catch (IOException e) {
            LOG.debug("peer: closing the connection to {} failed.", peer().vm());
        }
        mHandler.closed();
        mEnd.countDown();
    }

    /**
     * Hands frames to the handler until one is not accepted.
     *
     * @param in the connection
     * @return why reading ended
     * @throws FrameException if no acceptable frame arrives
     */
    private FrameFault readLoop(DataInputStream in) throws FrameException {
        while (true) {
            byte[] payload = FrameStreams.readAuthenticated(in, mSession.incoming());
            Result<Frame, FrameFault> result = FrameCodec.decode(payload);
            if (result instanceof Result.Err<Frame, FrameFault> err) {
                return err.error();
            }
            if (!((Result.Ok<Frame, FrameFault>) result).value().deliver(mHandler)) {
                return FrameFault.UNEXPECTED;
            }
        }
    }

    /** Writes the frames of the outbox until the connection ends. */
    private void writeLoop() {
        try {
            OutputStream out =
                    new BufferedOutputStream(mSocket.getOutputStream(), PeerLimits.CHUNK_BYTES);
            Frame frame = mOutbox.take();
            while (frame != null) {
                write(out, frame);
                frame = mOutbox.poll();
                if (frame == null) {
                    flush(out);
                    frame = mOutbox.take();
                }
            }
            if (!mClosed.get()) {
                mSocket.shutdownOutput();
            }
        } catch (IOException e) {
            close(FrameFault.LOST.text());
        } catch (RuntimeException e) {
            LOG.error("peer: a frame for {} could not be encoded.", peer().vm(), e);
            close("a frame could not be encoded");
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            close("the process is stopping");
        }
    }

    /**
     * Writes a frame.
     *
     * @param out the connection
     * @param frame the frame
     * @throws IOException if the connection fails
     */
    private void write(OutputStream out, Frame frame) throws IOException {
        mWriteStartedNanos = mClock.nanos();
        mWriting = true;
        FrameStreams.writeAuthenticated(out, mSession.outgoing(), FrameCodec.encode(frame));
        mWriting = false;
    }

    /**
     * Flushes the written frames.
     *
     * @param out the connection
     * @throws IOException if the connection fails
     */
    private void flush(OutputStream out) throws IOException {
        mWriteStartedNanos = mClock.nanos();
        mWriting = true;
        out.flush();
        mWriting = false;
    }
}
