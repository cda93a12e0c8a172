package org.magnoliaseam.placement;

/**
 * Holds what decides the place of a request among those that wait.
 *
 * @param priority the priority; 0 is the highest
 * @param account the client account; empty if the request has none
 * @param excessive whether the account sends far more than it usually does
 * @param kind the kind of the request, within which sizes are compared
 * @param size the size of the request: its prompt in tokens, or its body in bytes
 * @param serviceNanos the predicted time from the start to the first event or the answer, in
 *     nanoseconds
 * @param targetNanos the local monotonic time at which a request that meets its target has left the
 *     queue and has been served
 * @param deadlineNanos the local monotonic time at which the caller gives up
 */
public record WaitKey(
        int priority,
        String account,
        boolean excessive,
        String kind,
        long size,
        long serviceNanos,
        long targetNanos,
        long deadlineNanos) {

    /**
     * Returns the rank of the request within its priority.
     *
     * @param nowNanos the local monotonic time
     * @return the rank
     */
    WaitRank rank(long nowNanos) {
        if (excessive) {
            return WaitRank.EXCESSIVE;
        }
        return nowNanos - targetStartNanos() > 0 ? WaitRank.LATE : WaitRank.TIMELY;
    }

    /**
     * Returns the latest start that meets the target.
     *
     * @return the local monotonic time
     */
    long targetStartNanos() {
        return targetNanos - serviceNanos;
    }
}
