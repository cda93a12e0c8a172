package org.magnoliaseam.gateway;

import org.magnoliaseam.catalog.ServerEntry;
import org.magnoliaseam.catalog.Service;
import org.magnoliaseam.model.BackendServerId;

/**
 * Tracks the cold start of one backend server and limits the requests of this entry VM during it.
 * Guarded by the lock of the server pool.
 */
final class ColdStart {

    /** The number of nanoseconds in a millisecond. */
    private static final long NANOS_PER_MILLI = 1_000_000L;

    /** The backend server. */
    private final BackendServerId mServer;

    /** Limits the rate of requests. */
    private final ColdStartLimiter mLimiter;

    /** The local monotonic time at which the last cold start began. */
    private long mSinceNanos;

    /** The local monotonic time at which the cold start ends. */
    private long mUntilNanos;

    /**
     * Creates the cold start of a newly published backend server.
     *
     * @param entry the published entry
     * @param nowNanos the local monotonic time
     */
    ColdStart(ServerEntry entry, long nowNanos) {
        mServer = entry.id();
        mLimiter = new ColdStartLimiter(nowNanos);
        mSinceNanos = nowNanos;
        mUntilNanos = nowNanos + entry.coldMillis() * NANOS_PER_MILLI;
    }

    /**
     * Records that the cold start lasts for some time.
     *
     * @param millis the remaining time in milliseconds
     * @param nowNanos the local monotonic time
     */
    void lasts(long millis, long nowNanos) {
        long until = nowNanos + millis * NANOS_PER_MILLI;
        if (nowNanos - mUntilNanos >= 0) {
            mSinceNanos = nowNanos;
        }
        if (until - mUntilNanos > 0) {
            mUntilNanos = until;
        }
    }

    /**
     * Tells whether the rate limit allows one more request.
     *
     * @param service the service
     * @param shares divides the limit of the backend server over the entry VMs
     * @param nowNanos the local monotonic time
     * @return true if the backend server is warm or its rate limit allows the request
     */
    boolean admits(Service service, VmShares shares, long nowNanos) {
        return !isActive(service, nowNanos)
                || mLimiter.available(shares.coldPerSecond(service, mServer), nowNanos);
    }

    /**
     * Tells whether the backend server is in a cold start that limits its requests.
     *
     * @param service the service
     * @param nowNanos the local monotonic time
     * @return true during a cold start
     */
    boolean isActive(Service service, long nowNanos) {
        return service.coldPerSecond() > 0 && nowNanos - mUntilNanos < 0;
    }

    /**
     * Counts a request that is sent.
     *
     * @param service the service
     * @param shares divides the limit of the backend server over the entry VMs
     * @param nowNanos the local monotonic time
     */
    void started(Service service, VmShares shares, long nowNanos) {
        if (isActive(service, nowNanos)) {
            mLimiter.take(shares.coldPerSecond(service, mServer), nowNanos);
        }
    }

    /**
     * Gives a counted request back that was not sent after all.
     *
     * @param service the service
     * @param startedNanos the local monotonic time at which it was counted
     * @param nowNanos the local monotonic time
     */
    void notSent(Service service, long startedNanos, long nowNanos) {
        if (isActive(service, nowNanos) && startedNanos - mSinceNanos >= 0) {
            mLimiter.giveBack();
        }
    }
}
