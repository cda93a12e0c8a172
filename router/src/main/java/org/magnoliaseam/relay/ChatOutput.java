package org.magnoliaseam.relay;

import java.util.concurrent.CompletableFuture;
import org.magnoliaseam.exchange.AnswerHead;

/** Receives the verified events of a chat response, across all attempts of a request. */
public interface ChatOutput {

    /**
     * Receives the status and header fields for the caller. Calls after the first are ignored.
     *
     * @param head the status and header fields
     */
    void open(AnswerHead head);

    /**
     * Receives one event.
     *
     * @param data the JSON text of the event
     * @param content the text of the token; empty in the last event
     * @return completes when the next event may follow; completes exceptionally if the output can
     *     accept no more
     */
    CompletableFuture<Void> event(String data, String content);

    /** Called after the last event, to end the response. */
    void end();
}
