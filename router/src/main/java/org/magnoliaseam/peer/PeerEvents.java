package org.magnoliaseam.peer;

import java.util.Optional;
import org.magnoliaseam.exchange.AnswerSink;
import org.magnoliaseam.exchange.Cancellation;
import org.magnoliaseam.exchange.ForwardedRequest;
import org.magnoliaseam.fleet.PeerSummary;
import org.magnoliaseam.model.VmId;
import org.magnoliaseam.settings.ConfigurationText;

/**
 * Handles heartbeats, requests and configurations from other entry VMs. Implementations must not
 * block.
 */
public interface PeerEvents {

    /**
     * Handles a heartbeat.
     *
     * @param summary the state of the peer
     */
    void heartbeat(PeerSummary summary);

    /**
     * Handles the loss of the last connection to a peer.
     *
     * @param peer the peer
     */
    void disconnected(VmId peer);

    /**
     * Handles a request that a peer forwards.
     *
     * @param request the request
     * @param sink receives the answer; its writes complete as the peer grants credit
     * @return stops the request when the peer cancels it or its connection is lost
     */
    Cancellation forwarded(ForwardedRequest request, AnswerSink sink);

    /**
     * Answers a peer that asks for the configuration.
     *
     * @param newerThan the version that the peer has
     * @return the configuration in force if its version is higher
     */
    Optional<ConfigurationText> configurationNewerThan(long newerThan);

    /**
     * Handles a configuration that a peer sent on request.
     *
     * @param text the source text with its version
     */
    void configurationReceived(ConfigurationText text);
}
