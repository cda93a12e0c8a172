package org.magnoliaseam.backend;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.nio.channels.SocketChannel;
import org.eclipse.jetty.io.ManagedSelector;
import org.eclipse.jetty.io.SocketChannelEndPoint;
import org.eclipse.jetty.util.BufferUtil;
import org.eclipse.jetty.util.thread.Scheduler;

/**
 * Reads from a connection to a backend server. It records whether the connection was reset: Jetty
 * reports a reset as a regular end, which would make a truncated response that is delimited by the
 * end of its connection look complete. It interrupts a sequence of bytes without a pause, and ends
 * a connection on which a backend server sends bytes that belong to no response.
 *
 * <p>Reads are made by one thread at a time; the state of use may be set by any thread.
 */
public final class BackendEndPoint extends SocketChannelEndPoint {

    /**
     * The number of successive reads that return bytes, after which one read returns none. Jetty
     * parses until no bytes are left before it handles the cancellation of an exchange.
     */
    private static final int MAX_SUCCESSIVE_READS = 8;

    /** Whether reading from the connection failed. */
    private volatile boolean mReset;

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
     * Returns whether the connection was reset.
     *
     * @return true after a failed read
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
    }

    @Override
    public int fill(ByteBuffer buffer) throws IOException {
        if (isInputShutdown()) {
            return -1;
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
}
