package org.magnoliaseam.route;

import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.server.Connector;
import org.eclipse.jetty.server.Server;
import org.eclipse.jetty.server.ServerConnector;
import org.magnoliaseam.caller.ObservedConnectionFactory;
import org.magnoliaseam.failure.FailedStep;
import org.magnoliaseam.failure.FailureLog;
import org.magnoliaseam.gateway.Gateway;
import org.magnoliaseam.gateway.ShutdownState;
import org.magnoliaseam.gossip.DatagramReceiver;
import org.magnoliaseam.gossip.GossipNode;
import org.magnoliaseam.platform.PlatformFeed;
import org.magnoliaseam.settings.StoreSettings;
import org.magnoliaseam.time.MonotonicClock;

/**
 * Runs an entry VM, whose site is published by a metadata store, from its start to a planned stop.
 */
final class GatewayProcess {

    /** The interval between checks of the requests in progress, in milliseconds. */
    private static final long TICK_MILLIS = 20;

    /** The interval between checks of the settings file, in milliseconds. */
    private static final long RELOAD_MILLIS = 500;

    /** The interval of closing idle connections to leaving backend servers, in milliseconds. */
    private static final long CLOSE_LEAVING_MILLIS = 500;

    /** The time within which the load balancer removes an unready VM, in milliseconds. */
    private static final long BALANCER_MILLIS = 2500;

    /**
     * The time before the end of the grace period at which requests in progress are ended, in
     * milliseconds.
     */
    private static final long EXIT_MILLIS = 700;

    /** The time limit for sending the last answers, in milliseconds. */
    private static final long CLOSE_MILLIS = 300;

    /**
     * The interval between checks for remaining requests during a planned stop, in milliseconds.
     */
    private static final long DRAIN_CHECK_MILLIS = 20;

    /** The number of nanoseconds in a millisecond. */
    private static final long NANOS_PER_MILLI = 1_000_000;

    /** Logs the start and stop of the process. */
    private static final Logger LOG = LogManager.getLogger("route");

    /** Reloads the settings of the process. */
    private final SettingsReloader mReload;

    /** The ports for callers, readiness and operators. */
    private final Server mServer;

    /** The client for backend servers and the store. */
    private final HttpClient mClient;

    /** Watches the metadata store. */
    private final PlatformFeed mFeed;

    /** Exchanges state with the other entry VMs. */
    private final GossipNode mGossip;

    /** Receives the other messages of the other entry VMs. */
    private final DatagramReceiver mReceiver;

    /** Runs requests. */
    private final Gateway mGateway;

    /** Runs the periodic tasks. */
    private final ScheduledExecutorService mTimers;

    /** The progress of a planned stop. */
    private final ShutdownState mShutdown;

    /** The connections of callers. */
    private final ObservedConnectionFactory mConnections;

    /** Counts and logs failures of periodic tasks. */
    private final FailureLog mFailures;

    /** The clock. */
    private final MonotonicClock mClock;

    /**
     * Creates a process.
     *
     * @param reload reloads the settings of the process
     * @param server the ports, not yet started
     * @param client the client, not yet started
     * @param feed watches the metadata store
     * @param gossip exchanges state with the other entry VMs
     * @param receiver receives the other messages of the other entry VMs
     * @param gateway runs requests
     * @param timers runs the periodic tasks
     * @param shutdown the progress of a planned stop
     * @param connections the connections of callers
     * @param failures counts and logs failures of periodic tasks
     * @param clock the clock
     */
    GatewayProcess(
            SettingsReloader reload,
            Server server,
            HttpClient client,
            PlatformFeed feed,
            GossipNode gossip,
            DatagramReceiver receiver,
            Gateway gateway,
            ScheduledExecutorService timers,
            ShutdownState shutdown,
            ObservedConnectionFactory connections,
            FailureLog failures,
            MonotonicClock clock) {
        mReload = reload;
        mServer = server;
        mClient = client;
        mFeed = feed;
        mGossip = gossip;
        mReceiver = receiver;
        mGateway = gateway;
        mTimers = timers;
        mShutdown = shutdown;
        mConnections = connections;
        mFailures = failures;
        mClock = clock;
    }

    /**
     * Starts the process.
     *
     * @throws Exception if a port cannot be opened
     */
    void start() throws Exception {
        mClient.start();
        // The start of the client adds decoders, for which it would ask servers to encode bodies.
        mClient.getContentDecoderFactories().clear();
        mFeed.start();
        mServer.start();
        mGossip.start(mTimers, mReceiver);
        repeat(TICK_MILLIS, mGateway::tick);
        repeat(CLOSE_LEAVING_MILLIS, mGateway::closeLeaving);
        repeat(RELOAD_MILLIS, mReload::check);
        StoreSettings settings = mReload.get();
        LOG.info(
                "route: started, vm={} domain={} callers={}",
                settings.vm(),
                settings.failureDomain(),
                settings.callersAddress());
    }

    /**
     * Stops the process without interrupting requests in progress, as far as the grace period
     * allows. New requests are accepted until the load balancer sends no more; then they are
     * refused and idle connections are closed. At the end nothing listens any more, so that a
     * caller that connects learns at once that the process is gone.
     */
    void stop() {
        long begin = mClock.nanos();
        long limit = mReload.get().stopGrace().toMillis() - EXIT_MILLIS;
        mShutdown.leave(begin + limit * NANOS_PER_MILLI);
        LOG.info("route: stopping, active={}", mGateway.active());
        try {
            TimeUnit.MILLISECONDS.sleep(Math.min(BALANCER_MILLIS, limit));
            mShutdown.close();
            do {
                mConnections.closeIdle();
                TimeUnit.MILLISECONDS.sleep(DRAIN_CHECK_MILLIS);
            } while (isServing() && millisSince(begin) < limit);
            mGateway.end();
            closeListener();
            long end = millisSince(begin) + CLOSE_MILLIS;
            while (mConnections.closeIdle() > 0 && millisSince(begin) < end) {
                TimeUnit.MILLISECONDS.sleep(DRAIN_CHECK_MILLIS);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        mGossip.stop();
        mFeed.stop();
        LOG.info("route: stopped, active={}", mGateway.active());
    }

    /**
     * Tells whether a request is in progress, or an answer has not been written yet. A request ends
     * when the HTTP server has its answer, which a caller may read for seconds.
     *
     * @return true if so
     */
    private boolean isServing() {
        return mGateway.active() > 0 || mConnections.isAnswering();
    }

    /** Stops accepting connections of callers. */
    private void closeListener() {
        for (Connector connector : mServer.getConnectors()) {
            if (PortHandler.CALLERS.equals(connector.getName())
                    && connector instanceof ServerConnector listener) {
                listener.close();
            }
        }
    }

    /**
     * Repeats a task. A run that fails does not end the task.
     *
     * @param millis the time before each run in milliseconds
     * @param task the task
     */
    private void repeat(long millis, Runnable task) {
        mTimers.scheduleWithFixedDelay(
                () -> mFailures.guard(FailedStep.TICK, "", task),
                millis,
                millis,
                TimeUnit.MILLISECONDS);
    }

    /**
     * Returns the elapsed time since a point in time.
     *
     * @param nanos the local monotonic time
     * @return the time in milliseconds
     */
    private long millisSince(long nanos) {
        return (mClock.nanos() - nanos) / NANOS_PER_MILLI;
    }
}
