package org.magnoliaseam.backend;

import org.eclipse.jetty.client.ContinueProtocolHandler;
import org.eclipse.jetty.client.EarlyHintsProtocolHandler;
import org.eclipse.jetty.client.ProcessingProtocolHandler;
import org.eclipse.jetty.client.ProtocolHandlers;
import org.eclipse.jetty.client.transport.HttpClientTransportOverHTTP;
import org.eclipse.jetty.http.HttpStatus;

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

    @Override
    protected void doStart() throws Exception {
        ProtocolHandlers handlers = getHttpClient().getProtocolHandlers();
        handlers.put(
                new InterimResponseHandler(ContinueProtocolHandler.NAME, HttpStatus.CONTINUE_100));
        handlers.put(
                new InterimResponseHandler(
                        ProcessingProtocolHandler.NAME, HttpStatus.PROCESSING_102));
        handlers.put(
                new InterimResponseHandler(
                        EarlyHintsProtocolHandler.NAME, HttpStatus.EARLY_HINTS_103));
        super.doStart();
    }
}
