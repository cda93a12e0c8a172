package org.magnoliaseam.coldstart;

/**
 * States whether this entry VM may send to a backend server in cold start.
 *
 * @param held whether this entry VM may send
 * @param sinceNanos the local monotonic time since which it may send without interruption; 0 if it
 *     may not
 * @param reason the reason in a few words
 */
public record ColdSendRight(boolean held, long sinceNanos, String reason) {

    /**
     * Creates the decision that this entry VM may not send.
     *
     * @param reason the reason
     * @return the decision
     */
    static ColdSendRight refused(String reason) {
        return new ColdSendRight(false, 0, reason);
    }
}
