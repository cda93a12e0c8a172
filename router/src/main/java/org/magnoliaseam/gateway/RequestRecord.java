package org.magnoliaseam.gateway;

import java.util.ArrayList;
import java.util.List;

/** Collects the steps of one request for its record in the log. Not thread-safe. */
final class RequestRecord {

    /**
     * Holds one step of a request.
     *
     * @param kind what happened
     * @param server the backend server concerned; empty if none
     * @param detail the inputs of the decision or the cause of the failure
     * @param nanos the local monotonic time
     */
    record Step(StepKind kind, String server, String detail, long nanos) {}

    /** The request. */
    private final GatewayRequest mRequest;

    /** The steps in order. */
    private final List<Step> mSteps = new ArrayList<>(4);

    /** The longest time between two events in nanoseconds. */
    private long mLongestPauseNanos;

    /** The longest time for which the caller kept an event from being written, in nanoseconds. */
    private long mLongestCallerWaitNanos;

    /**
     * Creates a record without steps.
     *
     * @param request the request
     */
    RequestRecord(GatewayRequest request) {
        mRequest = request;
    }

    /**
     * Adds a step.
     *
     * @param kind what happened
     * @param server the backend server concerned; empty if none
     * @param detail the inputs of the decision or the cause of the failure
     * @param nanos the local monotonic time
     */
    void add(StepKind kind, String server, String detail, long nanos) {
        mSteps.add(new Step(kind, server, detail, nanos));
    }

    /**
     * Adds a step of an attempt.
     *
     * @param kind what happened
     * @param attempt the attempt
     * @param detail the inputs of the decision or the cause of the failure
     * @param nanos the local monotonic time
     */
    void add(StepKind kind, GatewayAttempt attempt, String detail, long nanos) {
        add(kind, attempt.server().id().value(), detail, nanos);
    }

    /**
     * Records the time between two events of a stream.
     *
     * @param nanos the time in nanoseconds
     */
    void paused(long nanos) {
        mLongestPauseNanos = Math.max(mLongestPauseNanos, nanos);
    }

    /**
     * Returns the longest time between two events.
     *
     * @return the time in nanoseconds; 0 if there was none
     */
    long longestPauseNanos() {
        return mLongestPauseNanos;
    }

    /**
     * Records the time for which the caller kept an event from being written.
     *
     * @param nanos the time in nanoseconds
     */
    void callerWaited(long nanos) {
        mLongestCallerWaitNanos = Math.max(mLongestCallerWaitNanos, nanos);
    }

    /**
     * Returns the longest time for which the caller kept an event from being written.
     *
     * @return the time in nanoseconds; 0 if there was no event
     */
    long longestCallerWaitNanos() {
        return mLongestCallerWaitNanos;
    }

    /**
     * Returns the request.
     *
     * @return the request
     */
    GatewayRequest request() {
        return mRequest;
    }

    /**
     * Returns the steps.
     *
     * @return the steps in order
     */
    List<Step> steps() {
        return mSteps;
    }

    /**
     * Tells whether an answer was lost, as when a backend server crashes.
     *
     * @return true if a connection was lost or an answer ended before its end
     */
    boolean lostAnswer() {
        return mSteps.stream()
                .map(Step::kind)
                .anyMatch(kind -> kind == StepKind.CONNECTION_LOST || kind == StepKind.INCOMPLETE);
    }
}
