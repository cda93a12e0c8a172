package org.magnoliaseam.caller;

import java.io.IOException;
import java.net.SocketAddress;
import java.nio.ByteBuffer;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeoutException;
import org.eclipse.jetty.io.Connection;
import org.eclipse.jetty.io.EndPoint;
import org.eclipse.jetty.util.BufferUtil;
import org.eclipse.jetty.util.Callback;

/**
 * Notices that a caller has closed its connection while its request is in progress. Jetty reads
 * nothing during that time, so this end point reads ahead and keeps the bytes for the connection.
 */
public final class ObservedEndPoint implements EndPoint, EndPoint.Wrapper {

    /** The bytes read ahead at most. */
    private static final int READ_AHEAD_BYTES = 4096;

    /** The end point of the connection. */
    private final EndPoint mEndPoint;

    /** Runs the calls to the connection. */
    private final Executor mExecutor;

    /** The bytes read ahead, ready to be read; empty if none. */
    private ByteBuffer mAhead = BufferUtil.EMPTY_BUFFER;

    /** Whether the end of the input was read ahead. */
    private boolean mEndAhead;

    /** The connection's wish to read; null if it has none. */
    private Callback mReader;

    /** What to run when the caller is gone; null if nobody observes. */
    private Runnable mOnGone;

    /** Whether a wish to read is registered with the end point. */
    private boolean mRegistered;

    /**
     * Creates an end point.
     *
     * @param endPoint the end point of the connection
     * @param executor runs the calls to the connection
     */
    ObservedEndPoint(EndPoint endPoint, Executor executor) {
        mEndPoint = endPoint;
        mExecutor = executor;
    }

    /**
     * Observes the connection until its next request is read or {@link #forget} is called.
     *
     * @param onGone runs once when the caller has closed the connection
     */
    public void observe(Runnable onGone) {
        boolean gone;
        synchronized (this) {
            gone = mEndAhead;
            mOnGone = gone ? null : onGone;
        }
        if (gone) {
            onGone.run();
        } else {
            register();
        }
    }

    /** Ends the observation. */
    public synchronized void forget() {
        mOnGone = null;
    }

    @Override
    public EndPoint unwrap() {
        return mEndPoint;
    }

    @Override
    public int fill(ByteBuffer buffer) throws IOException {
        synchronized (this) {
            if (mAhead.hasRemaining()) {
                int position = BufferUtil.flipToFill(buffer);
                int moved = BufferUtil.put(mAhead, buffer);
                BufferUtil.flipToFlush(buffer, position);
                return moved;
            }
            if (mEndAhead) {
                return -1;
            }
        }
        return mEndPoint.fill(buffer);
    }

    @Override
    public void fillInterested(Callback callback) {
        boolean ready;
        synchronized (this) {
            ready = mAhead.hasRemaining() || mEndAhead;
            mReader = ready ? null : callback;
            mOnGone = null;
        }
        if (ready) {
            mExecutor.execute(callback::succeeded);
        } else {
            register();
        }
    }

    @Override
    public boolean tryFillInterested(Callback callback) {
        if (isFillInterested()) {
            return false;
        }
        fillInterested(callback);
        return true;
    }

    @Override
    public synchronized boolean isFillInterested() {
        return mReader != null;
    }

    /** Registers one wish to read for the connection and the observer. */
    private void register() {
        synchronized (this) {
            if (mRegistered || mReader == null && mOnGone == null) {
                return;
            }
            mRegistered = true;
        }
        mEndPoint.fillInterested(Callback.from(this::readable, this::unreadable));
    }

    /** Passes the readiness on to the connection, or reads ahead for the observer. */
    private void readable() {
        Callback reader;
        synchronized (this) {
            mRegistered = false;
            reader = mReader;
            mReader = null;
        }
        if (reader != null) {
            reader.succeeded();
        } else {
            readAhead();
        }
    }

    /**
     * Passes a failure on.
     *
     * @param cause the failure
     */
    private void unreadable(Throwable cause) {
        Callback reader;
        synchronized (this) {
            mRegistered = false;
            reader = mReader;
            mReader = null;
        }
        if (reader != null) {
            reader.failed(cause);
        } else if (cause instanceof TimeoutException) {
            register();
        } else {
            gone();
        }
    }

    /** Reads what is there to find out whether the caller has closed the connection. */
    private void readAhead() {
        ByteBuffer bytes = BufferUtil.allocate(READ_AHEAD_BYTES);
        int count;
        try {
            count = mEndPoint.fill(bytes);
        } catch (IOException e) {
            count = -1;
        }
        if (count > 0) {
            keep(bytes);
        } else if (count < 0) {
            gone();
        } else {
            register();
        }
    }

    /**
     * Keeps bytes for the connection and stops observing, since a further request has begun.
     *
     * @param bytes the bytes
     */
    private void keep(ByteBuffer bytes) {
        Callback reader;
        synchronized (this) {
            mAhead = bytes;
            reader = mReader;
            mReader = null;
        }
        if (reader != null) {
            reader.succeeded();
        }
    }

    /** Tells the observer and the connection that the input has ended. */
    private void gone() {
        Runnable onGone;
        Callback reader;
        synchronized (this) {
            mEndAhead = true;
            onGone = mOnGone;
            mOnGone = null;
            reader = mReader;
            mReader = null;
        }
        if (onGone != null) {
            onGone.run();
        }
        if (reader != null) {
            reader.succeeded();
        }
    }

    @Override
    public SocketAddress getLocalSocketAddress() {
        return mEndPoint.getLocalSocketAddress();
    }

    @Override
    public SocketAddress getRemoteSocketAddress() {
        return mEndPoint.getRemoteSocketAddress();
    }

    @Override
    public boolean isOpen() {
        return mEndPoint.isOpen();
    }

    @Override
    public long getCreatedTimeStamp() {
        return mEndPoint.getCreatedTimeStamp();
    }

    @Override
    public void shutdownOutput() {
        mEndPoint.shutdownOutput();
    }

    @Override
    public boolean isOutputShutdown() {
        return mEndPoint.isOutputShutdown();
    }

    @Override
    public boolean isInputShutdown() {
        return mEndPoint.isInputShutdown();
    }

    @Override
    public void close(Throwable cause) {
        mEndPoint.close(cause);
    }

    @Override
    public boolean flush(ByteBuffer... buffers) throws IOException {
        return mEndPoint.flush(buffers);
    }

    @Override
    public Object getTransport() {
        return mEndPoint.getTransport();
    }

    @Override
    public long getIdleTimeout() {
        return mEndPoint.getIdleTimeout();
    }

    @Override
    public void setIdleTimeout(long millis) {
        mEndPoint.setIdleTimeout(millis);
    }

    @Override
    public void write(Callback callback, ByteBuffer... buffers) {
        mEndPoint.write(callback, buffers);
    }

    @Override
    public Callback cancelWrite(Throwable cause) {
        return mEndPoint.cancelWrite(cause);
    }

    @Override
    public Connection getConnection() {
        return mEndPoint.getConnection();
    }

    @Override
    public void setConnection(Connection connection) {
        mEndPoint.setConnection(connection);
    }

    @Override
    public void onOpen() {
        mEndPoint.onOpen();
    }

    @Override
    public void onClose(Throwable cause) {
        mEndPoint.onClose(cause);
    }

    @Override
    public void upgrade(Connection connection) {
        mEndPoint.upgrade(connection);
    }
}
