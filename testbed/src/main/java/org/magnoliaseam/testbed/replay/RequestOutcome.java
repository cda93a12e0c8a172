package org.magnoliaseam.testbed.replay;

import org.magnoliaseam.testbed.harness.CallerAnswer;

/**
 * Holds the outcome of one request of a trace.
 *
 * @param request the request
 * @param answer the answer
 * @param expected whether the answer equals the one computed from the messages
 */
public record RequestOutcome(TraceRequest request, CallerAnswer answer, boolean expected) {

    /** The name of the exception if a caller times out. */
    private static final String TIMEOUT = "TimeoutException";

    /**
     * Tells whether the caller got a whole answer.
     *
     * @return whether it is complete
     */
    public boolean whole() {
        return answer.whole();
    }

    /**
     * Tells whether the caller got the answer to another request or a damaged one.
     *
     * @return whether a complete answer is not the expected one
     */
    public boolean mismatched() {
        return answer.whole() && !expected;
    }

    /**
     * Tells whether the router reported an error.
     *
     * @return whether there is one
     */
    public boolean refused() {
        return !answer.whole() && answer.error().isPresent();
    }

    /**
     * Tells whether the caller timed out.
     *
     * @return whether the caller's time limit passed before the answer ended
     */
    public boolean gaveUp() {
        return !refused() && answer.failure().filter(text -> text.contains(TIMEOUT)).isPresent();
    }

    /**
     * Returns the number of tokens that the caller got.
     *
     * @return the number
     */
    public int tokens() {
        return request.kind() == TraceRequestKind.CHAT ? answer.timings().tokenMillis().size() : 0;
    }

    /**
     * Tells whether the whole answer met all latency targets.
     *
     * @param targets the targets of the class
     * @return whether it is whole, as expected and on time
     */
    public boolean onTime(OutcomeTargets.ClassTargets targets) {
        if (!answer.whole() || !expected) {
            return false;
        }
        boolean wholeOnTime = answer.timings().endMillis() <= targets.wholeAnswerMillis();
        if (request.kind() != TraceRequestKind.CHAT) {
            return wholeOnTime;
        }
        long firstMillis = answer.timings().firstTokenMillis().orElse(Long.MAX_VALUE);
        return wholeOnTime
                && firstMillis <= targets.firstTokenMillis()
                && answer.timings().betweenTokensMillis() <= targets.betweenTokensMillis();
    }
}
