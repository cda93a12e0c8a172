package org.magnoliaseam.backend;

import java.nio.ByteBuffer;
import java.util.concurrent.CompletableFuture;
import org.magnoliaseam.exchange.AnswerHead;

/**
 * Receives the response to one attempt. Methods are called one at a time; the last call is exactly
 * one of {@link #ended} and {@link #failed}.
 */
public interface BackendListener {

    /**
     * Decides, just before the first byte is sent, whether the request may still be sent.
     *
     * @return true if the request is to be sent; its first byte may be sent from then on
     */
    boolean sending();

    /**
     * Receives the status and header fields, unless the backend server refused the request without
     * starting it.
     *
     * @param head the status and header fields
     */
    void head(AnswerHead head);

    /**
     * Receives a part of the body.
     *
     * @param bytes the part; owned by the listener until the returned future completes
     * @return completes when the next part may follow; completes exceptionally to abort the attempt
     */
    CompletableFuture<Void> content(ByteBuffer bytes);

    /** Called at the regular end of the response. */
    void ended();

    /**
     * Called if the attempt fails.
     *
     * @param failure the kind of failure
     * @param detail one sentence for the decision record
     */
    void failed(BackendFailure failure, String detail);
}
