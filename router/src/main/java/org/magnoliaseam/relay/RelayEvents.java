package org.magnoliaseam.relay;

import org.magnoliaseam.backend.BackendFailure;
import org.magnoliaseam.exchange.AnswerHead;

/**
 * Receives the progress of one attempt. The last call is exactly one of {@link #completed}, {@link
 * #failed} and {@link #callerGone}.
 */
public interface RelayEvents {

    /**
     * Decides, just before the first byte is sent, whether the request may still be sent.
     *
     * @return true if the request is to be sent; its first byte may be sent from then on
     */
    boolean sending();

    /**
     * Receives the status and header fields of the response.
     *
     * @param head the status and header fields as the backend server sent them
     */
    void head(AnswerHead head);

    /** Called when a token, or the body of a plain service's response, is relayed. */
    void token();

    /**
     * Called when the next event waits until the caller has taken the last one, and when it has.
     *
     * @param waits whether the backend server is not read meanwhile
     */
    void callerWaits(boolean waits);

    /** Called when the whole response has been relayed. */
    void completed();

    /**
     * Called if the attempt fails.
     *
     * @param failure the kind of failure
     * @param detail one sentence for the decision record
     */
    void failed(BackendFailure failure, String detail);

    /** Called at the end of the attempt if the caller closed the connection. */
    void callerGone();
}
