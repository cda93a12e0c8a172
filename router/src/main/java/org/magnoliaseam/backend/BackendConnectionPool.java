package org.magnoliaseam.backend;

import org.eclipse.jetty.client.Connection;
import org.eclipse.jetty.client.Destination;
import org.eclipse.jetty.client.DuplexConnectionPool;
import org.eclipse.jetty.io.EndPoint;

/** Keeps the connections to one backend server, and tells each whether an exchange uses it. */
public final class BackendConnectionPool extends DuplexConnectionPool {

    /**
     * Creates a pool.
     *
     * @param destination the backend server
     * @param maxConnections the maximum number of connections
     */
    public BackendConnectionPool(Destination destination, int maxConnections) {
        super(destination, maxConnections);
    }

    @Override
    protected Connection activate() {
        Connection connection = super.activate();
        setPooled(connection, false);
        return connection;
    }

    @Override
    protected boolean deactivate(Connection connection) {
        // Another thread may activate the connection as soon as it is deactivated.
        setPooled(connection, true);
        return super.deactivate(connection);
    }

    /**
     * Tells a connection whether it is in the pool.
     *
     * @param connection the connection; null for none
     * @param pooled whether no exchange uses the connection
     */
    private static void setPooled(Connection connection, boolean pooled) {
        if (connection instanceof org.eclipse.jetty.io.Connection wire) {
            EndPoint endPoint = wire.getEndPoint();
            if (endPoint instanceof BackendEndPoint backend) {
                backend.setPooled(pooled);
            }
        }
    }
}
