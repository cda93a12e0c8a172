package org.magnoliaseam.peer;

import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.magnoliaseam.exchange.AnswerSink;
import org.magnoliaseam.exchange.Cancellation;
import org.magnoliaseam.exchange.ForwardedRequest;
import org.magnoliaseam.fleet.PeerSummary;
import org.magnoliaseam.model.Incarnation;
import org.magnoliaseam.model.VmId;
import org.magnoliaseam.settings.PeerAddress;

/** Sends messages to other entry VMs. All methods may be called from any thread and never block. */
public interface PeerNetwork {

    /**
     * Sets the peers to maintain connections to.
     *
     * @param peers the other entry VMs
     */
    void connectTo(List<PeerAddress> peers);

    /**
     * Sends a heartbeat to every connected peer.
     *
     * @param summary the state of this entry VM
     */
    void broadcast(PeerSummary summary);

    /**
     * Asks a peer for its configuration if its version is higher than a given one. The answer
     * arrives at {@link PeerEvents#configurationReceived}.
     *
     * @param peer the peer
     * @param newerThan the version already known; 0 if none
     */
    void requestConfiguration(VmId peer, long newerThan);

    /**
     * Returns whether an authenticated connection to a run of a peer is up.
     *
     * @param peer the peer
     * @param incarnation the run of the peer
     * @return true if a request can be forwarded to it
     */
    boolean connected(VmId peer, Incarnation incarnation);

    /**
     * Sets the entry VMs that may be dialled when a request is for one of them, in addition to the
     * peers that have permanent connections.
     *
     * @param members the entry VMs
     */
    default void allowDialling(List<PeerAddress> members) {}

    /**
     * Dials an allowed entry VM unless a connection is up; the connection is closed when it has
     * been idle for some time. A peer whose connection was just lost is being dialled again, which
     * is waited for.
     *
     * @param peer the entry VM
     * @param incarnation the run of the entry VM
     * @return completes with whether a request can now be forwarded to that run
     */
    default CompletableFuture<Boolean> reach(VmId peer, Incarnation incarnation) {
        return CompletableFuture.completedFuture(connected(peer, incarnation));
    }

    /**
     * Forwards a request to a peer. If the peer is not connected, or the connection is lost before
     * the answer is complete, the sink gets a refusal with {@code OUTCOME_UNKNOWN} if the request
     * may have reached the peer and with {@code NO_BACKEND_SERVER} otherwise.
     *
     * @param peer the peer
     * @param request the request
     * @param sink receives the answer
     * @return stops the exchange on both sides
     */
    Cancellation forward(VmId peer, ForwardedRequest request, AnswerSink sink);
}
