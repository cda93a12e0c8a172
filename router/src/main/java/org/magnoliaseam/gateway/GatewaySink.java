package org.magnoliaseam.gateway;

import java.nio.ByteBuffer;
import org.magnoliaseam.error.Refusal;
import org.magnoliaseam.exchange.AnswerSink;

/** Receives the answer to one request and writes it in the protocol of the caller. */
public interface GatewaySink extends AnswerSink {

    /**
     * Ends the exchange with a refusal that states when to retry.
     *
     * @param refusal the refusal
     * @param retryAfterMillis the delay before a retry in milliseconds; 0 if a retry is pointless
     */
    void refuse(Refusal refusal, long retryAfterMillis);

    /**
     * Ends the answer with its last bytes.
     *
     * @param last the last bytes of the body
     */
    void endWith(ByteBuffer last);

    /** Aborts an answer after its head in a way that the caller recognizes as incomplete. */
    void breakOff();
}
