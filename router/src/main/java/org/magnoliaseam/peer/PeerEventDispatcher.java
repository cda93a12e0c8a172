package org.magnoliaseam.peer;

import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.Executor;
import org.magnoliaseam.fleet.PeerSummary;
import org.magnoliaseam.model.VmId;
import org.magnoliaseam.settings.ConfigurationText;

/**
 * Counts the dialled and accepted connections of each peer and delivers events of peers to the
 * event handlers, in order and outside the threads that read and write frames.
 */
final class PeerEventDispatcher {

    /** Handles the events. */
    private final PeerEvents mEvents;

    /** Runs the event handlers in order. */
    private final Executor mSerial;

    /** The connections of each peer. */
    private final Map<VmId, Integer> mCounts = new HashMap<>();

    /** The last heartbeat of each peer that has not yet been delivered. */
    private final Map<VmId, PeerSummary> mHeartbeats = new HashMap<>();

    /**
     * Creates a dispatcher without connections.
     *
     * @param events handles the events
     * @param handlers runs the event handlers
     */
    PeerEventDispatcher(PeerEvents events, Executor handlers) {
        mEvents = events;
        mSerial = new SerialExecutor(handlers);
    }

    /**
     * Records a new connection.
     *
     * @param peer the peer
     */
    synchronized void up(VmId peer) {
        mCounts.merge(peer, 1, Integer::sum);
    }

    /**
     * Records the end of a connection; reports the peer as disconnected if it was the last one.
     *
     * @param peer the peer
     */
    synchronized void down(VmId peer) {
        int left = mCounts.merge(peer, -1, Integer::sum);
        if (left == 0) {
            mCounts.remove(peer);
            mSerial.execute(() -> mEvents.disconnected(peer));
        }
    }

    /**
     * Queues a heartbeat for delivery. Until it is delivered, a newer heartbeat of the peer
     * replaces it.
     *
     * @param summary the heartbeat
     */
    synchronized void heartbeat(PeerSummary summary) {
        if (mHeartbeats.put(summary.vm(), summary) == null) {
            mSerial.execute(() -> deliverHeartbeat(summary.vm()));
        }
    }

    /**
     * Queues a configuration for delivery.
     *
     * @param text the configuration
     */
    void configuration(ConfigurationText text) {
        mSerial.execute(() -> mEvents.configurationReceived(text));
    }

    /**
     * Delivers the last heartbeat of a peer.
     *
     * @param peer the peer
     */
    private void deliverHeartbeat(VmId peer) {
        PeerSummary summary;
        synchronized (this) {
            summary = mHeartbeats.remove(peer);
        }
        mEvents.heartbeat(summary);
    }
}
