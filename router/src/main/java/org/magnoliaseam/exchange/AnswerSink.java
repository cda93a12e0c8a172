package org.magnoliaseam.exchange;

import java.nio.ByteBuffer;
import java.util.concurrent.CompletableFuture;
import org.magnoliaseam.error.Refusal;

/**
 * Receives the response to one request. Methods are called one at a time: {@link #head}, any number
 * of {@link #write}, then {@link #end}. At any point before the end, {@link #refuse} may end the
 * exchange instead.
 */
public interface AnswerSink {

    /**
     * Receives the status and header fields; called at most once.
     *
     * @param head the status and header fields
     */
    void head(AnswerHead head);

    /**
     * Receives a part of the body. The next part follows only after the returned future completes,
     * which limits the memory used for a slow reader.
     *
     * @param bytes the part; owned by the sink until the returned future completes
     * @return completes when the next part may follow; completes exceptionally if the reader has
     *     closed its connection
     */
    CompletableFuture<Void> write(ByteBuffer bytes);

    /** Ends the response. */
    void end();

    /**
     * Ends the exchange with a refusal. Before {@link #head}, the refusal is sent as the response.
     * After it, the stream ends with an error event and without an end marker.
     *
     * @param refusal the refusal
     */
    void refuse(Refusal refusal);
}
