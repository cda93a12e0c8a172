package org.magnoliaseam.dispatch;

import java.time.Duration;
import org.magnoliaseam.settings.RequestClass;

/**
 * Holds the local monotonic times at which the stages of a wait begin.
 *
 * @param sinceNanos the start of the wait
 * @param dueNanos the time at which the first token, or the whole answer of a plain service, is due
 * @param earlyNanos the time from which the request may be handed over to a peer with free slots
 * @param preemptionNanos the time from which the request needs a slot at once and may preempt
 * @param missedNanos the time from which the request misses its target even if started at once
 * @param lateNanos the time from which the request may also be handed over to a peer that runs
 *     lower tiers
 * @param expiryNanos the time at which the request is refused
 */
record WaitDeadlines(
        long sinceNanos,
        long dueNanos,
        long earlyNanos,
        long preemptionNanos,
        long missedNanos,
        long lateNanos,
        long expiryNanos) {

    /** The time that the cancellation of a victim takes, in nanoseconds. */
    private static final long CANCEL_LEAD_NANOS = 50_000_000L;

    /** The longest time between the late hand-over stage and the expiry, in nanoseconds. */
    private static final long HAND_OVER_LEAD_NANOS = 500_000_000L;

    /**
     * Computes the deadlines of a request. The wait of a new request starts at its arrival, that of
     * a request that was started before at its return to the queue.
     *
     * @param work the request
     * @param requestClass the class of the request in the current configuration
     * @param firstTokenNanos the expected time from the start to the first token, in nanoseconds
     * @param nowNanos the local monotonic time
     * @return the deadlines
     */
    static WaitDeadlines of(
            WorkItem work, RequestClass requestClass, long firstTokenNanos, long nowNanos) {
        long since = work.started() ? nowNanos : work.arrivedNanos();
        long maxWait = requestClass.maxQueueWait().toNanos();
        long lead = Math.min(HAND_OVER_LEAD_NANOS, maxWait / 4);
        long expiry = since + maxWait;
        if (work.handedOver()) {
            expiry = Math.max(expiry, nowNanos + lead);
        }
        long due = since + target(requestClass).toNanos();
        long late = expiry - lead;
        long missed = Math.min(late, Math.max(since, due - firstTokenNanos));
        long preemption = Math.max(since, missed - CANCEL_LEAD_NANOS);
        long early = since + (preemption - since) / 2;
        return new WaitDeadlines(since, due, early, preemption, missed, late, expiry);
    }

    /**
     * Returns the latency target that limits the wait.
     *
     * @param requestClass the class
     * @return the target for the first token, or for the whole answer where there are no tokens
     */
    private static Duration target(RequestClass requestClass) {
        Duration firstToken = requestClass.targets().firstToken();
        return firstToken.isZero() ? requestClass.targets().wholeAnswer() : firstToken;
    }

    /**
     * Returns the time at which a stage begins.
     *
     * @param stage the stage
     * @return the local monotonic time
     */
    long begin(WaitStage stage) {
        return switch (stage) {
            case EARLY_HAND_OVER -> earlyNanos;
            case PREEMPTION -> preemptionNanos;
            case MISSED -> missedNanos;
            case LATE_HAND_OVER -> lateNanos;
            case EXPIRY -> expiryNanos;
        };
    }
}
