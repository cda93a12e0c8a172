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
 * Remembers whether a connection ended with a reset. Jetty reports a reset as a regular end, which
 * would make an answer that ends with its connection look whole.
 */
public final class ResetAwareEndPoint extends SocketChannelEndPoint {

    /** Whether reading failed. */
    private volatile boolean mReset;

    /**
     * Creates an end point.
     *
     * @param channel the connection
     * @param selector the selector that serves it
     * @param key its key
     * @param scheduler runs time limits
     */
    ResetAwareEndPoint(
            SocketChannel channel,
            ManagedSelector selector,
            SelectionKey key,
            Scheduler scheduler) {
        super(channel, selector, key, scheduler);
    }

    /**
     * Tells whether the connection ended with a reset.
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
