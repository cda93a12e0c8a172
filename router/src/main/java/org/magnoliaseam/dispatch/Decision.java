package org.magnoliaseam.dispatch;

import org.magnoliaseam.error.ErrorKind;
import org.magnoliaseam.model.BackendServerId;
import org.magnoliaseam.model.RequestId;
import org.magnoliaseam.model.VmId;

/** States what the dispatcher decided about a request, and why. */
public sealed interface Decision {

    /**
     * Returns the request that the decision is about.
     *
     * @return the request
     */
    RequestId id();

    /**
     * Returns the reason in a few words.
     *
     * @return the reason, for the decision record
     */
    String reason();

    /**
     * Starts a request on a backend server. The slot counts as used until the request is finished.
     *
     * @param id the request
     * @param server the backend server
     * @param granted whether the start uses the guaranteed share of the class
     * @param reason the reason, with the candidates and their costs
     */
    record Start(RequestId id, BackendServerId server, boolean granted, String reason)
            implements Decision {}

    /**
     * Refuses a request; it leaves the queue.
     *
     * @param id the request
     * @param kind the kind of refusal
     * @param retryAfterMillis the delay after which a retry is likely to succeed, in milliseconds
     * @param reason the reason
     */
    record Refuse(RequestId id, ErrorKind kind, long retryAfterMillis, String reason)
            implements Decision {}

    /**
     * Cancels a running request of a lower tier at its backend server. The caller of the dispatcher
     * cancels the request, calls {@link Dispatcher#finished}, and offers it again with the number
     * of tokens already relayed.
     *
     * @param id the request to cancel
     * @param server the backend server that runs it
     * @param beneficiary the waiting request that gets the slot
     * @param reason the reason
     */
    record Preempt(RequestId id, BackendServerId server, RequestId beneficiary, String reason)
            implements Decision {}

    /**
     * Hands a request over to a peer; it leaves the queue.
     *
     * @param id the request
     * @param peer the peer
     * @param reason the reason
     */
    record HandOver(RequestId id, VmId peer, String reason) implements Decision {}
}
