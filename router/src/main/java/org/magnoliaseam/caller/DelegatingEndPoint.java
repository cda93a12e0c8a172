package org.magnoliaseam.caller;

import java.io.IOException;
import java.net.SocketAddress;
import java.nio.ByteBuffer;
import org.eclipse.jetty.io.Connection;
import org.eclipse.jetty.io.EndPoint;
import org.eclipse.jetty.util.Callback;

/** Passes all calls but those that read on to another end point. */
abstract class DelegatingEndPoint implements EndPoint, EndPoint.Wrapper {

    /** The wrapped end point. */
    private final EndPoint mEndPoint;

    /**
     * Creates an end point.
     *
     * @param endPoint the end point to wrap
     */
    DelegatingEndPoint(EndPoint endPoint) {
        mEndPoint = endPoint;
    }

    @Override
    public EndPoint unwrap() {
        return mEndPoint;
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
