package org.magnoliaseam.dispatch;

import java.util.Optional;
import org.magnoliaseam.model.RequestId;
import org.magnoliaseam.model.Tier;

/** Holds one started request until its slot is freed. */
final class RunningRequest {

    /** The request. */
    private final WorkItem mWork;

    /** The tier in which the request was started. */
    private final Tier mTier;

    /** The server that runs the request. */
    private final ServerState mServer;

    /** The number of the start; a higher number is a later start. */
    private final long mStart;

    /** The local monotonic time of the start. */
    private final long mStartedNanos;

    /** The local monotonic time before which the request is not preempted. */
    private final long mProtectedUntilNanos;

    /** The request for which this one is being cancelled; empty if it is not preempted. */
    private Optional<WaitingRequest> mBeneficiary = Optional.empty();

    /**
     * Creates a running request.
     *
     * @param work the request
     * @param tier the tier in which the request was started
     * @param server the server that runs it
     * @param start the number of the start
     * @param startedNanos the time of the start
     * @param protectedUntilNanos the time before which the request is not preempted
     */
    RunningRequest(
            WorkItem work,
            Tier tier,
            ServerState server,
            long start,
            long startedNanos,
            long protectedUntilNanos) {
        mWork = work;
        mTier = tier;
        mServer = server;
        mStart = start;
        mStartedNanos = startedNanos;
        mProtectedUntilNanos = protectedUntilNanos;
    }

    /**
     * Returns the identifier of the request.
     *
     * @return the identifier
     */
    RequestId id() {
        return mWork.id();
    }

    /**
     * Returns the tier in which the request was started.
     *
     * @return the tier
     */
    Tier tier() {
        return mTier;
    }

    /**
     * Returns the server that runs the request.
     *
     * @return the server
     */
    ServerState server() {
        return mServer;
    }

    /**
     * Returns the number of the start.
     *
     * @return the number; a higher one is a later start
     */
    long start() {
        return mStart;
    }

    /**
     * Returns the time of the start.
     *
     * @return the local monotonic time
     */
    long startedNanos() {
        return mStartedNanos;
    }

    /**
     * Returns the time before which the request is not preempted.
     *
     * @return the local monotonic time
     */
    long protectedUntilNanos() {
        return mProtectedUntilNanos;
    }

    /**
     * Tells whether the request can be cancelled and resumed without side effects.
     *
     * @return true if it is resumable, idempotent and not of the highest tier
     */
    boolean preemptible() {
        return mWork.resumable()
                && mWork.requestClass().idempotent()
                && mTier.rank() > Tier.HIGHEST.rank();
    }

    /**
     * Returns the request for which this one is being cancelled.
     *
     * @return the beneficiary, if this request has been preempted
     */
    Optional<WaitingRequest> beneficiary() {
        return mBeneficiary;
    }

    /**
     * Records the request for which this one is being cancelled.
     *
     * @param beneficiary the request that waits for the slot
     */
    void beneficiary(WaitingRequest beneficiary) {
        mBeneficiary = Optional.of(beneficiary);
    }
}
