package org.magnoliaseam.route;

import dagger.Module;
import dagger.Provides;
import javax.inject.Named;
import javax.inject.Singleton;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.server.Server;
import org.magnoliaseam.backend.BackendClient;
import org.magnoliaseam.backend.JettyBackendClient;
import org.magnoliaseam.caller.CallerHandler;
import org.magnoliaseam.settings.LocalSettings;
import org.magnoliaseam.time.MonotonicClock;

/** Provides the HTTP server of the callers' port and the HTTP clients of a router process. */
@Module
final class ServerModule {

    /** The name of the client with pooled connections. */
    private static final String POOLED = "pooled";

    /** The name of the client that uses each connection once. */
    private static final String SINGLE_USE = "single-use";

    /** The name of the server of the callers' port. */
    private static final String CALLERS = "callers";

    /** Prevents instances; every provider is static. */
    private ServerModule() {}

    /**
     * Provides the client with pooled connections.
     *
     * @return the client
     */
    @Provides
    @Singleton
    @Named(POOLED)
    static HttpClient pooled() {
        return HttpFactory.pooledClient();
    }

    /**
     * Provides the client that uses each connection once.
     *
     * @return the client
     */
    @Provides
    @Singleton
    @Named(SINGLE_USE)
    static HttpClient singleUse() {
        return HttpFactory.singleUseClient();
    }

    /**
     * Provides the client that sends to backend servers.
     *
     * @param pooled the client with pooled connections
     * @param singleUse the client that uses each connection once
     * @return the backend client
     */
    @Provides
    @Singleton
    static BackendClient backend(
            @Named(POOLED) HttpClient pooled, @Named(SINGLE_USE) HttpClient singleUse) {
        return new JettyBackendClient(pooled, singleUse);
    }

    /**
     * Provides the server of the callers' port.
     *
     * @param settings the settings of the process
     * @param configuration the configuration in force
     * @param flow runs requests
     * @param tickets issues tickets
     * @param identity creates request IDs
     * @param clock the clock
     * @return the server
     */
    @Provides
    @Singleton
    @Named(CALLERS)
    static Server callers(
            LocalSettings settings,
            ConfigurationHolder configuration,
            RequestFlow flow,
            TicketService tickets,
            ProcessIdentity identity,
            MonotonicClock clock) {
        CallerHandler handler =
                new CallerHandler(
                        settings,
                        configuration::inForce,
                        flow,
                        tickets,
                        identity::nextRequestId,
                        clock);
        return HttpFactory.callerServer(
                CALLERS, settings.callersAddress(), settings.bodyTimeout(), clock, handler);
    }
}
