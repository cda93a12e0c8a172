package org.magnoliaseam.caller;

import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.LongSupplier;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.io.Connection;
import org.eclipse.jetty.io.Content;
import org.eclipse.jetty.io.EndPoint;
import org.eclipse.jetty.server.Connector;
import org.eclipse.jetty.server.HttpConfiguration;
import org.eclipse.jetty.server.HttpConnectionFactory;
import org.eclipse.jetty.server.Request;
import org.magnoliaseam.time.MonotonicClock;

/**
 * Creates HTTP connections that detect a close by the caller while a request is in progress, and
 * end the input if receiving a request takes too long.
 */
public final class ObservedConnectionFactory extends HttpConnectionFactory {

    /** The time limit for receiving a request, in milliseconds. */
    private final long mReceiveLimitMillis;

    /** The clock. */
    private final MonotonicClock mClock;

    /** Returns the published idle time of connections, in milliseconds. */
    private volatile LongSupplier mIdleMillis = () -> 0;

    /** Counts the connections that end without an answer. */
    private final ConnectionNotices mNotices;

    /** The open connections. */
    private final Set<ObservedEndPoint> mOpen = ConcurrentHashMap.newKeySet();

    /**
     * Creates a factory.
     *
     * @param configuration the HTTP configuration of the connections
     * @param receiveLimitMillis the time limit for receiving a request, in milliseconds
     * @param clock the clock
     */
    public ObservedConnectionFactory(
            HttpConfiguration configuration, long receiveLimitMillis, MonotonicClock clock) {
        super(configuration);
        mReceiveLimitMillis = receiveLimitMillis;
        mClock = clock;
        mNotices = new ConnectionNotices(clock);
        getHttpConfiguration().addCustomizer(ObservedConnectionFactory::observeBody);
    }

    /** Tells the connection when the body of a request has been received. */
    private static final class ObservedRequest extends Request.Wrapper {

        /** The connection of the request. */
        private final ObservedEndPoint mEndPoint;

        /**
         * Creates a request.
         *
         * @param request the request to wrap
         * @param endPoint its connection
         */
        ObservedRequest(Request request, ObservedEndPoint endPoint) {
            super(request);
            mEndPoint = endPoint;
        }

        @Override
        public Content.Chunk read() {
            Content.Chunk chunk = super.read();
            if (chunk != null && chunk.isLast()) {
                mEndPoint.received();
            }
            return chunk;
        }
    }

    /**
     * Observes the receipt of a request whose head has been received.
     *
     * @param request the request
     * @param responseHeaders the header fields of its response
     * @return the observed request
     */
    private static Request observeBody(Request request, HttpFields.Mutable responseHeaders) {
        EndPoint endPoint = request.getConnectionMetaData().getConnection().getEndPoint();
        if (!(endPoint instanceof ObservedEndPoint observed)) {
            return request;
        }
        boolean hasBody =
                request.getHeaders().contains(HttpHeader.TRANSFER_ENCODING)
                        || request.getHeaders().getLongField(HttpHeader.CONTENT_LENGTH) > 0;
        Request.addCompletionListener(request, failure -> observed.answered(hasBody));
        return new ObservedRequest(request, observed);
    }

    @Override
    public Connection newConnection(Connector connector, EndPoint endPoint) {
        ObservedEndPoint observed =
                new ObservedEndPoint(
                        endPoint,
                        connector.getExecutor(),
                        mReceiveLimitMillis,
                        () -> mIdleMillis.getAsLong(),
                        mNotices,
                        mClock);
        Connection connection = super.newConnection(connector, observed);
        connection.addEventListener(
                new Connection.Listener() {
                    @Override
                    public void onOpened(Connection opened) {
                        mOpen.add(observed);
                    }

                    @Override
                    public void onClosed(Connection closed) {
                        mOpen.remove(observed);
                    }
                });
        return connection;
    }

    /**
     * Sets the idle time that callers rely on. Open connections follow it; they stay open for the
     * idle timeout of their connector if that is longer.
     *
     * @param idleMillis returns the idle time in milliseconds; 0 if none is published
     */
    public void idleTime(LongSupplier idleMillis) {
        mIdleMillis = idleMillis;
    }

    /**
     * Returns the notices of connections that ended without an answer.
     *
     * @return the notices of all connections
     */
    public ConnectionNotices notices() {
        return mNotices;
    }

    /**
     * Tells whether an answer is still being written to a connection, or a request received whole
     * is not yet answered.
     *
     * @return true if so
     */
    public boolean isAnswering() {
        return mOpen.stream().anyMatch(ObservedEndPoint::isAnswering);
    }

    /**
     * Closes the connections on which no request is received or in progress.
     *
     * @return the number of the other connections
     */
    public int closeIdle() {
        int others = 0;
        for (ObservedEndPoint endPoint : mOpen) {
            if (endPoint.isIdle()) {
                endPoint.close();
            } else {
                others++;
            }
        }
        return others;
    }
}
