package org.magnoliaseam.caller;

import org.eclipse.jetty.io.Connection;
import org.eclipse.jetty.io.EndPoint;
import org.eclipse.jetty.server.Connector;
import org.eclipse.jetty.server.HttpConfiguration;
import org.eclipse.jetty.server.HttpConnectionFactory;

/** Creates HTTP connections whose callers are observed while their requests are in progress. */
public final class ObservedConnectionFactory extends HttpConnectionFactory {

    /**
     * Creates a factory.
     *
     * @param configuration the limits of the connections
     */
    public ObservedConnectionFactory(HttpConfiguration configuration) {
        super(configuration);
    }

    @Override
    public Connection newConnection(Connector connector, EndPoint endPoint) {
        return super.newConnection(
                connector, new ObservedEndPoint(endPoint, connector.getExecutor()));
    }
}
