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
 * Records whether a connection was reset. Jetty reports a reset as a regular end, which would make
 * a truncated response that is delimited by the end of its connection look complete.
 */
public final class ResetAwareEndPoint extends SocketChannelEndPoint {

    /** Whether reading from the connection failed. */
    private volatile boolean mReset;

    /**
     * Creates an end point.
     *
     * @param channel the connection
     * @param selector the selector of the connection
     * @param key the selection key of the connection
     * @param scheduler schedules idle timeouts
     */
    ResetAwareEndPoint(
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

    @Override
    public int fill(ByteBuffer buffer) throws IOException {
        if (isInputShutdown()) {
            return -1;
        }
        int position = BufferUtil.flipToFill(buffer);
        int filled;
        try {
            filled = getChannel().read(buffer);
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
