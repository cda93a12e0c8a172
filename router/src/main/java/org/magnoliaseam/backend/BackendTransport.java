package org.magnoliaseam.backend;

import org.eclipse.jetty.client.transport.HttpClientTransportOverHTTP;

/** Carries exchanges with backend servers over pooled connections. */
public final class BackendTransport extends HttpClientTransportOverHTTP {

    /**
     * Creates a transport.
     *
     * @param connector opens connections
     * @param maxUsage the maximum number of exchanges on one connection; -1 for no limit
     */
    public BackendTransport(BackendConnector connector, int maxUsage) {
        super(connector);
        setConnectionPoolFactory(
                destination -> {
                    BackendConnectionPool pool =
                            new BackendConnectionPool(
                                    destination,
                                    destination.getHttpClient().getMaxConnectionsPerDestination());
                    pool.setMaxUsage(maxUsage);
                    return pool;
                });
    }
}
