package org.magnoliaseam.leaving;

import java.time.Duration;

/** Steps through the phases of a graceful shutdown; no phase is entered twice. Not thread-safe. */
public final class ShutdownSequence {

    /** The time between becoming not ready and refusing new work. */
    private final Duration mBalancerGrace;

    /** The current phase. */
    private ShutdownPhase mPhase = ShutdownPhase.SERVING;

    /** The local monotonic time at which the shutdown began. */
    private long mBeganNanos;

    /**
     * Creates a sequence in the phase {@link ShutdownPhase#SERVING}.
     *
     * @param balancerGrace the time between becoming not ready and refusing new work
     */
    public ShutdownSequence(Duration balancerGrace) {
        mBalancerGrace = balancerGrace;
    }

    /**
     * Begins the shutdown; further calls have no effect.
     *
     * @param nowNanos the local monotonic time
     */
    public void begin(long nowNanos) {
        if (mPhase == ShutdownPhase.SERVING) {
            mPhase = ShutdownPhase.BALANCER_GRACE;
            mBeganNanos = nowNanos;
        }
    }

    /**
     * Advances as many phases as possible. Requests in progress are never aborted: {@link
     * ShutdownPhase#STREAMS_END} waits for them without a time limit.
     *
     * @param ticketsExpired whether every ticket has expired and none has a running request
     * @param openExchanges the number of requests in progress, including queued and forwarded ones
     * @param nowNanos the local monotonic time
     * @return the current phase
     */
    public ShutdownPhase advance(boolean ticketsExpired, int openExchanges, long nowNanos) {
        if (mPhase == ShutdownPhase.BALANCER_GRACE
                && nowNanos - mBeganNanos >= mBalancerGrace.toNanos()) {
            mPhase = ShutdownPhase.TICKETS_EXPIRE;
        }
        if (mPhase == ShutdownPhase.TICKETS_EXPIRE && ticketsExpired) {
            mPhase = ShutdownPhase.STREAMS_END;
        }
        if (mPhase == ShutdownPhase.STREAMS_END && openExchanges == 0) {
            mPhase = ShutdownPhase.EXIT;
        }
        return mPhase;
    }

    /**
     * Returns the current phase.
     *
     * @return the phase
     */
    public ShutdownPhase phase() {
        return mPhase;
    }
}
