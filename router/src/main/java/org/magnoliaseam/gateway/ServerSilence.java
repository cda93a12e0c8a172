package org.magnoliaseam.gateway;

/**
 * Tells a backend server that has stopped sending anything from one that answers others while a
 * single attempt is stuck there. Guarded by the lock of the server pool, except for the time of the
 * last sign.
 */
final class ServerSilence {

    /**
     * The part of the pause of an attempt for which nothing may have been received from the backend
     * server if the whole server counts as silent.
     */
    private static final double WHOLE_SERVER_SHARE = 0.5;

    /**
     * The time after which a silent backend server gets another request that shows whether it goes
     * on, in nanoseconds.
     */
    private static final long PROBE_NANOS = 400_000_000L;

    /** The local monotonic time of the last part of an answer. */
    private volatile long mHeardNanos;

    /** The local monotonic time at which the latest answered attempt was sent. */
    private volatile long mLatestAnsweredNanos;

    /** The silent attempts in progress at the backend server. */
    private int mAttempts;

    /** Whether the backend server was silent when last observed. */
    private boolean mSilent;

    /** The local monotonic time of the last start of an attempt. */
    private long mStartedNanos;

    /** The local monotonic time of the last observation of a silent attempt. */
    private long mObservedNanos;

    /**
     * Creates the state of a backend server that is not silent.
     *
     * @param nowNanos the local monotonic time
     */
    ServerSilence(long nowNanos) {
        mHeardNanos = nowNanos;
        mLatestAnsweredNanos = nowNanos;
        mStartedNanos = nowNanos;
    }

    /**
     * Records that an attempt starts.
     *
     * @param nowNanos the local monotonic time
     */
    void started(long nowNanos) {
        mStartedNanos = nowNanos;
    }

    /**
     * Records that a part of an answer was received; needs no lock.
     *
     * @param nowNanos the local monotonic time
     */
    void heard(long nowNanos) {
        mHeardNanos = nowNanos;
    }

    /**
     * Records that an attempt is answered; needs no lock.
     *
     * @param sentNanos the local monotonic time at which it was sent
     */
    void answeredAttempt(long sentNanos) {
        if (sentNanos - mLatestAnsweredNanos > 0) {
            mLatestAnsweredNanos = sentNanos;
        }
    }

    /**
     * Tells whether an attempt has been answered that was sent after a point in time.
     *
     * @param nanos the local monotonic time
     * @return true if there was one
     */
    boolean hasAnsweredAfter(long nanos) {
        return mLatestAnsweredNanos - nanos > 0;
    }

    /**
     * Returns the time of the last part of an answer.
     *
     * @return the local monotonic time
     */
    long heardNanos() {
        return mHeardNanos;
    }

    /**
     * Counts attempts that fall silent or end their silence.
     *
     * @param change the change of the number of silent attempts
     */
    void count(int change) {
        mAttempts += change;
    }

    /**
     * Returns the silent attempts in progress at the backend server.
     *
     * @return the number of attempts
     */
    int attempts() {
        return mAttempts;
    }

    /**
     * Tells whether the backend server sends to others while an attempt is silent.
     *
     * @param pauseNanos the time since the last sign of the attempt, in nanoseconds
     * @param nowNanos the local monotonic time
     * @return true if the attempt alone is stuck
     */
    boolean isHeard(long pauseNanos, long nowNanos) {
        return nowNanos - mHeardNanos < WHOLE_SERVER_SHARE * pauseNanos;
    }

    /**
     * Records that an attempt has been silent for too long.
     *
     * @param pauseNanos the time since its last sign, in nanoseconds
     * @param nowNanos the local monotonic time
     * @return true if this counts as a failure: a stuck attempt, or the first one of a silence
     */
    boolean observed(long pauseNanos, long nowNanos) {
        if (isHeard(pauseNanos, nowNanos)) {
            return true;
        }
        boolean known = isSilent(nowNanos);
        mSilent = true;
        mObservedNanos = nowNanos;
        return !known;
    }

    /**
     * Tells whether the backend server has stopped sending. It counts as such until it is heard
     * from, but for one request at intervals.
     *
     * @param nowNanos the local monotonic time
     * @return true while others should be preferred
     */
    boolean isSilent(long nowNanos) {
        boolean lapsed =
                nowNanos - mObservedNanos >= PROBE_NANOS && nowNanos - mStartedNanos >= PROBE_NANOS;
        return isUnresolved() && !lapsed;
    }

    /**
     * Tells whether the backend server has not been heard from since its last silence.
     *
     * @return true if it should not take over a request that runs elsewhere
     */
    boolean isUnresolved() {
        return mSilent && mHeardNanos - mObservedNanos < 0;
    }
}
