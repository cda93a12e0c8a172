package org.magnoliaseam.gateway;

import java.nio.ByteBuffer;
import org.magnoliaseam.error.Refusal;
import org.magnoliaseam.exchange.AnswerSink;

/** Takes the answer to one request of a caller in the caller's protocol. */
public interface GatewaySink extends AnswerSink {

    /**
     * Ends the exchange with a refusal that says when to come back.
     *
     * @param refusal the refusal
     * @param retryAfterMillis the delay before another try in milliseconds; 0 if another try is no
     *     use
     */
    void refuse(Refusal refusal, long retryAfterMillis);

    /**
     * Ends the answer with its last bytes.
     *
     * @param last the last bytes of the body
     */
    void endWith(ByteBuffer last);

    /** Breaks an answer off after its head so that it does not look complete. */
    void breakOff();
}
