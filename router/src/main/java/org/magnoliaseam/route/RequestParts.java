package org.magnoliaseam.route;

import org.magnoliaseam.backend.BackendClient;
import org.magnoliaseam.explain.RecordSink;
import org.magnoliaseam.model.VmId;
import org.magnoliaseam.peer.PeerNetwork;
import org.magnoliaseam.time.MonotonicClock;

/**
 * Holds the dependencies that all requests of a process share.
 *
 * @param vm this entry VM
 * @param loop the dispatcher
 * @param backend sends to backend servers
 * @param peers sends to peers
 * @param guard decides whether attempts may be sent and records their outcomes
 * @param records receives decision records
 * @param clock the clock
 */
public record RequestParts(
        VmId vm,
        DispatchLoop loop,
        BackendClient backend,
        PeerNetwork peers,
        AttemptGuard guard,
        RecordSink records,
        MonotonicClock clock) {}
