package org.magnoliaseam.backend;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.CancelledKeyException;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.nio.channels.SocketChannel;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import org.eclipse.jetty.client.Request;
import org.eclipse.jetty.io.AbstractConnection;
import org.eclipse.jetty.io.ManagedSelector;
import org.eclipse.jetty.io.SocketChannelEndPoint;
import org.eclipse.jetty.util.BufferUtil;
import org.eclipse.jetty.util.thread.Scheduler;

/**
 * Reads from a connection to a backend server. It records whether the connection was reset: Jetty
 * reports a reset as a regular end, which would make a truncated response that is delimited by the
 * end of its connection look complete. It interrupts a sequence of bytes without a pause, and ends
 * a connection on which a backend server sends bytes that belong to no response. It can confirm an
 * end of input before it reports it, since a reset may follow and shows that the backend server did
 * not read the whole request.
 *
 * <p>Reads are made by one thread at a time; the state of use may be set by any thread.
 */
public final class BackendEndPoint extends SocketChannelEndPoint {

    /**
     * The number of successive reads that return bytes, after which one read returns none. Jetty
     * parses until no bytes are left before it handles the cancellation of an exchange.
     */
    private static final int MAX_SUCCESSIVE_READS = 8;

    /** The time between two checks whether a reset followed the end of input, in milliseconds. */
    private static final long CHECK_MILLIS = 10;

    /** The time after which no reset is expected to follow, in nanoseconds. */
    private static final long CONFIRM_NANOS = TimeUnit.MILLISECONDS.toNanos(100);

    /** The local monotonic time at which the connection was made. */
    private final long mOpenedNanos = System.nanoTime();

    /** Whether the connection was reset. */
    private volatile boolean mReset;

    /** Whether to confirm the end of input. */
    private volatile boolean mConfirmsEnd;

    /** Whether the end of input is being confirmed and not yet reported. */
    private volatile boolean mEnding;

    /** Returns whether the request has been written. */
    private volatile BooleanSupplier mWritten = () -> true;

    /** The local monotonic time from which no reset has followed; used while confirming. */
    private volatile long mQuietNanos;

    /** Whether the connection is in its pool, where no response is expected. */
    private volatile boolean mPooled;

    /** The number of successive reads that returned bytes. */
    private int mSuccessiveReads;

    /**
     * Creates an end point.
     *
     * @param channel the connection
     * @param selector the selector of the connection
     * @param key the selection key of the connection
     * @param scheduler schedules idle timeouts
     */
    BackendEndPoint(
            SocketChannel channel,
            ManagedSelector selector,
            SelectionKey key,
            Scheduler scheduler) {
        super(channel, selector, key, scheduler);
    }

    /**
     * Returns the connection that a request is sent on.
     *
     * @param request the request
     * @return the end point of the connection; empty if there is none yet
     */
    public static Optional<BackendEndPoint> of(Request request) {
        return request.getConnection() instanceof AbstractConnection connection
                        && connection.getEndPoint() instanceof BackendEndPoint endPoint
                ? Optional.of(endPoint)
                : Optional.empty();
    }

    /**
     * Returns the time at which the connection was made.
     *
     * @return the local monotonic time in nanoseconds
     */
    public long openedNanos() {
        return mOpenedNanos;
    }

    /**
     * Returns whether the connection was reset.
     *
     * @return true after a failed read, and after a reset that followed the end of input
     */
    public boolean wasReset() {
        return mReset;
    }

    /**
     * Sets whether the connection is in its pool.
     *
     * @param pooled whether no exchange uses the connection
     */
    void setPooled(boolean pooled) {
        mPooled = pooled;
        if (pooled) {
            mConfirmsEnd = false;
        }
    }

    /**
     * Confirms the end of input of this connection before it is reported: the request has to be
     * written, and no reset may follow for some time.
     *
     * @param written returns whether the request has been written
     */
    void confirmEnd(BooleanSupplier written) {
        mWritten = written;
        mConfirmsEnd = true;
    }

    @Override
    protected void needsFillInterest() {
        // The channel stays readable after the end of input, so the selector would not wait.
        if (!mEnding) {
            super.needsFillInterest();
        }
    }

    @Override
    public int fill(ByteBuffer buffer) throws IOException {
        if (isInputShutdown()) {
            return -1;
        }
        if (mEnding) {
            return 0;
        }
        if (mSuccessiveReads >= MAX_SUCCESSIVE_READS) {
            mSuccessiveReads = 0;
            return 0;
        }
        int filled = read(buffer);
        mSuccessiveReads = filled > 0 ? mSuccessiveReads + 1 : 0;
        return filled;
    }

    /**
     * Reads bytes from the connection.
     *
     * @param buffer receives the bytes
     * @return the number of bytes; -1 after the end of the input
     */
    private int read(ByteBuffer buffer) {
        int position = BufferUtil.flipToFill(buffer);
        int filled;
        try {
            filled = getChannel().read(buffer);
            if (filled > 0 && mPooled) {
                buffer.position(buffer.position() - filled);
                filled = -1;
            }
            if (filled > 0) {
                notIdle();
            } else if (filled < 0 && mConfirmsEnd) {
                mEnding = true;
                mQuietNanos = System.nanoTime();
                scheduleCheck();
                filled = 0;
            } else if (filled < 0) {
                shutdownInput();
            }
        } catch (IOException e) {
            mReset = true;
            shutdownInput();
            filled = -1;
        } finally {
            BufferUtil.flipToFlush(buffer, position);
        }
        return filled;
    }

    /** Schedules the next check whether a reset followed the end of input. */
    private void scheduleCheck() {
        getScheduler().schedule(this::checkEnd, CHECK_MILLIS, TimeUnit.MILLISECONDS);
    }

    /** Reports the end of input if a reset followed it, or none did for some time. */
    private void checkEnd() {
        if (!isOpen()) {
            return;
        }
        if (!mWritten.getAsBoolean()) {
            mQuietNanos = System.nanoTime();
        }
        if (isResetNow()) {
            mReset = true;
        }
        if (mReset || System.nanoTime() - mQuietNanos >= CONFIRM_NANOS) {
            mConfirmsEnd = false;
            mEnding = false;
            shutdownInput();
            getFillInterest().fillable();
        } else {
            scheduleCheck();
        }
    }

    /**
     * Tells whether a reset has followed the end of input. Reads do not show it. A selector reports
     * an error of the channel for any operation, and a connected channel is never ready to connect.
     *
     * @return true after a reset
     */
    private boolean isResetNow() {
        try (Selector selector = Selector.open()) {
            getChannel().register(selector, SelectionKey.OP_CONNECT);
            return selector.selectNow() > 0;
        } catch (IOException | CancelledKeyException e) {
            return true;
        }
    }
}
