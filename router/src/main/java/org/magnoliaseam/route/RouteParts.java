package org.magnoliaseam.route;

import javax.inject.Inject;
import javax.inject.Named;
import javax.inject.Singleton;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.server.Server;
import org.eclipse.jetty.util.component.LifeCycle;
import org.magnoliaseam.peer.PeerNode;

/** Holds the components that a process starts and stops. */
@Singleton
public final class RouteParts {

    /** The log. */
    private static final Logger LOG = LogManager.getLogger("route");

    /** The state of the process. */
    private final ProcessState mState;

    /** The local view of the fleet. */
    private final FleetTracker mFleet;

    /** The dispatcher. */
    private final DispatchLoop mLoop;

    /** Runs requests. */
    private final RequestFlow mFlow;

    /** Issues and validates tickets. */
    private final TicketService mTickets;

    /** The configuration in force. */
    private final ConfigurationHolder mConfiguration;

    /** Watches the platform. */
    private final PlatformWatches mWatches;

    /** The peer node. */
    private final PeerNode mPeers;

    /** The client with pooled connections. */
    private final HttpClient mPooled;

    /** The client that uses each connection once. */
    private final HttpClient mSingleUse;

    /** The server of the callers' port. */
    private final Server mCallers;

    /** The server of the operators' port. */
    private final Server mOperators;

    /**
     * Creates the holder.
     *
     * @param state the state of the process
     * @param fleet the local view of the fleet
     * @param loop the dispatcher
     * @param flow runs requests
     * @param tickets issues and validates tickets
     * @param configuration the configuration in force
     * @param watches watches the platform
     * @param peers the peer node
     * @param pooled the client with pooled connections
     * @param singleUse the client that uses each connection once
     * @param callers the server of the callers' port
     * @param operators the server of the operators' port
     */
    @Inject
    public RouteParts(
            ProcessState state,
            FleetTracker fleet,
            DispatchLoop loop,
            RequestFlow flow,
            TicketService tickets,
            ConfigurationHolder configuration,
            PlatformWatches watches,
            PeerNode peers,
            @Named("pooled") HttpClient pooled,
            @Named("single-use") HttpClient singleUse,
            @Named("callers") Server callers,
            @Named("operators") Server operators) {
        mState = state;
        mFleet = fleet;
        mLoop = loop;
        mFlow = flow;
        mTickets = tickets;
        mConfiguration = configuration;
        mWatches = watches;
        mPeers = peers;
        mPooled = pooled;
        mSingleUse = singleUse;
        mCallers = callers;
        mOperators = operators;
    }

    /**
     * Returns the state of the process.
     *
     * @return the state of the process
     */
    ProcessState state() {
        return mState;
    }

    /**
     * Returns the tracker of the local view of the fleet.
     *
     * @return the tracker
     */
    FleetTracker fleet() {
        return mFleet;
    }

    /**
     * Returns the dispatcher.
     *
     * @return the dispatcher
     */
    DispatchLoop loop() {
        return mLoop;
    }

    /**
     * Returns the request flow.
     *
     * @return the flow
     */
    RequestFlow flow() {
        return mFlow;
    }

    /**
     * Returns the ticket service.
     *
     * @return the ticket service
     */
    TicketService tickets() {
        return mTickets;
    }

    /**
     * Returns the holder of the configuration in force.
     *
     * @return the holder
     */
    ConfigurationHolder configuration() {
        return mConfiguration;
    }

    /**
     * Returns the watches of the platform.
     *
     * @return the watches
     */
    PlatformWatches watches() {
        return mWatches;
    }

    /**
     * Returns the peer node.
     *
     * @return the peer node
     */
    PeerNode peers() {
        return mPeers;
    }

    /**
     * Starts the HTTP clients.
     *
     * @throws Exception if one cannot be started
     */
    void startClients() throws Exception {
        mPooled.start();
        mSingleUse.start();
    }

    /**
     * Starts the HTTP servers, the callers' port last.
     *
     * @throws Exception if a port cannot be opened
     */
    void startServers() throws Exception {
        mOperators.start();
        mCallers.start();
    }

    /** Stops everything that was started. */
    void stopAll() {
        stop(mCallers);
        stop(mOperators);
        mPeers.close();
        stop(mPooled);
        stop(mSingleUse);
    }

    /**
     * Stops one component.
     *
     * @param component the component
     */
    private static void stop(LifeCycle component) {
        try {
            component.stop();
        } catch (Exception e) {
            LOG.warn("route: a component failed to stop, cause={}", e.getClass().getSimpleName());
        }
    }
}
