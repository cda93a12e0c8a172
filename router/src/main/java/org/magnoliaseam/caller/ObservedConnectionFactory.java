package org.magnoliaseam.caller;

import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import org.eclipse.jetty.io.Connection;
import org.eclipse.jetty.io.EndPoint;
import org.eclipse.jetty.server.Connector;
import org.eclipse.jetty.server.HttpConfiguration;
import org.eclipse.jetty.server.HttpConnectionFactory;

/** Creates HTTP connections that detect a close by the caller while a request is in progress. */
public final class ObservedConnectionFactory extends HttpConnectionFactory {

    /** The open connections. */
    private final Set<ObservedEndPoint> mOpen = ConcurrentHashMap.newKeySet();

    /**
     * Creates a factory.
     *
     * @param configuration the HTTP configuration of the connections
     */
    public ObservedConnectionFactory(HttpConfiguration configuration) {
        super(configuration);
    }

    @Override
    public Connection newConnection(Connector connector, EndPoint endPoint) {
        ObservedEndPoint observed = new ObservedEndPoint(endPoint, connector.getExecutor());
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

    /** Closes the connections on which no request is in progress. */
    public void closeIdle() {
        for (ObservedEndPoint endPoint : mOpen) {
            if (endPoint.isFillInterested()) {
                endPoint.close();
            }
        }
    }
}
