package org.magnoliaseam.route;

import java.util.Optional;
import java.util.function.Supplier;
import org.magnoliaseam.exchange.AnswerSink;
import org.magnoliaseam.exchange.Cancellation;
import org.magnoliaseam.exchange.ForwardPurpose;
import org.magnoliaseam.exchange.ForwardedRequest;
import org.magnoliaseam.fleet.PeerSummary;
import org.magnoliaseam.model.VmId;
import org.magnoliaseam.peer.PeerEvents;
import org.magnoliaseam.settings.ConfigurationText;
import org.magnoliaseam.settings.VersionedConfiguration;

/** Passes the messages of peers to the components of this process. */
public final class PeerGateway implements PeerEvents {

    /** The local view of the fleet. */
    private final FleetTracker mFleet;

    /** The configuration in force. */
    private final ConfigurationHolder mConfiguration;

    /** Runs requests. */
    private final Supplier<RequestFlow> mFlow;

    /** Records the attempts and crashes that peers report. */
    private final FleetAttemptGuard mGuard;

    /** Answers operator queries from peers. */
    private final PeerQueryHandler mQueries;

    /**
     * Creates a gateway.
     *
     * @param fleet the local view of the fleet
     * @param configuration the configuration in force
     * @param guard records the attempts and crashes that peers report
     * @param flow runs requests
     * @param queries answers operator queries from peers
     */
    public PeerGateway(
            FleetTracker fleet,
            ConfigurationHolder configuration,
            FleetAttemptGuard guard,
            Supplier<RequestFlow> flow,
            PeerQueryHandler queries) {
        mFleet = fleet;
        mConfiguration = configuration;
        mGuard = guard;
        mFlow = flow;
        mQueries = queries;
    }

    @Override
    public void heartbeat(PeerSummary summary) {
        mFleet.heartbeat(summary);
        mGuard.recordPeerReport(summary);
        mConfiguration.recordPeerVersion(summary.vm(), summary.configurationVersion());
    }

    @Override
    public void disconnected(VmId peer) {
        // The age of its last heartbeat decides whether a peer is lost, not its connections.
    }

    @Override
    public Cancellation forwarded(ForwardedRequest request, AnswerSink sink) {
        if (request.purpose() == ForwardPurpose.OPERATOR_QUERY) {
            mQueries.answer(request.path(), sink);
            return () -> {};
        }
        return mFlow.get().receive(request, sink);
    }

    @Override
    public Optional<ConfigurationText> configurationNewerThan(long newerThan) {
        return mConfiguration
                .inForce()
                .filter(inForce -> inForce.version() > newerThan)
                .map(VersionedConfiguration::text);
    }

    @Override
    public void configurationReceived(ConfigurationText text) {
        mConfiguration.peerAnswered();
        mConfiguration.offer(text, "peer");
    }
}
