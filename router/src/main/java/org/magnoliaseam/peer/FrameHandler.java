package org.magnoliaseam.peer;

import org.magnoliaseam.error.Refusal;
import org.magnoliaseam.exchange.AnswerHead;
import org.magnoliaseam.exchange.ForwardedRequest;
import org.magnoliaseam.fleet.PeerSummary;
import org.magnoliaseam.settings.ConfigurationText;

/**
 * Handles the frames of one connection on its reader thread. Each method returns whether the frame
 * was expected; an unexpected frame closes the connection. No method blocks.
 */
interface FrameHandler {

    /**
     * Handles a heartbeat.
     *
     * @param summary the summary
     * @return whether it was expected
     */
    default boolean heartbeat(PeerSummary summary) {
        return false;
    }

    /**
     * Handles a heartbeat without lists; they are those of the last heartbeat that had them.
     *
     * @param summary the summary with empty lists
     * @return whether it was expected
     */
    default boolean pulse(PeerSummary summary) {
        return false;
    }

    /**
     * Handles a ping.
     *
     * @return whether it was expected
     */
    default boolean ping() {
        return false;
    }

    /**
     * Handles the answer to a ping or heartbeat.
     *
     * @return whether it was expected
     */
    default boolean pong() {
        return false;
    }

    /**
     * Handles a request for the configuration.
     *
     * @param newerThan the version that the peer has
     * @return whether it was expected
     */
    default boolean configurationRequest(long newerThan) {
        return false;
    }

    /**
     * Handles a configuration.
     *
     * @param text the configuration
     * @return whether it was expected
     */
    default boolean configurationReply(ConfigurationText text) {
        return false;
    }

    /**
     * Handles the start of a request.
     *
     * @param stream the stream
     * @param request the request without its body
     * @param bodyBytes the length of the body that follows
     * @return whether it was expected
     */
    default boolean open(long stream, ForwardedRequest request, int bodyBytes) {
        return false;
    }

    /**
     * Handles a part of a request body.
     *
     * @param stream the stream
     * @param bytes the part
     * @return whether it was expected
     */
    default boolean bodyChunk(long stream, byte[] bytes) {
        return false;
    }

    /**
     * Handles the cancellation of a request.
     *
     * @param stream the stream
     * @return whether it was expected
     */
    default boolean cancel(long stream) {
        return false;
    }

    /**
     * Handles credit to send more of an answer.
     *
     * @param stream the stream
     * @param bytes the additional bytes
     * @return whether it was expected
     */
    default boolean credit(long stream, int bytes) {
        return false;
    }

    /**
     * Handles the head of an answer.
     *
     * @param stream the stream
     * @param head the head
     * @return whether it was expected
     */
    default boolean head(long stream, AnswerHead head) {
        return false;
    }

    /**
     * Handles a part of an answer.
     *
     * @param stream the stream
     * @param bytes the part
     * @return whether it was expected
     */
    default boolean answerChunk(long stream, byte[] bytes) {
        return false;
    }

    /**
     * Handles the end of an answer.
     *
     * @param stream the stream
     * @return whether it was expected
     */
    default boolean end(long stream) {
        return false;
    }

    /**
     * Handles a refusal in place of the rest of an answer.
     *
     * @param stream the stream
     * @param refusal the refusal
     * @return whether it was expected
     */
    default boolean refuse(long stream, Refusal refusal) {
        return false;
    }

    /** Ends all streams after the connection was closed; called once. */
    void closed();
}
