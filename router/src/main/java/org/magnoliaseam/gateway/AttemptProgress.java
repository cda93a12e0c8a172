package org.magnoliaseam.gateway;

import java.util.concurrent.CompletableFuture;
import org.magnoliaseam.catalog.Route;
import org.magnoliaseam.time.MonotonicClock;

/** Tracks the arrival of the answer of one attempt. Written by one thread at a time. */
final class AttemptProgress {

    /**
     * The time without an answer, as a multiple of the target, after which an attempt is given up.
     */
    private static final double ANSWER_TIMEOUT_FACTOR = 2.5;

    /** The pause, as a multiple of the target, after which a stream is given up. */
    private static final double PAUSE_TIMEOUT_FACTOR = 6;

    /**
     * The shortest time without an answer or event after which an attempt is given up, in
     * milliseconds.
     */
    private static final double MIN_TIMEOUT_MILLIS = 250;

    /**
     * The time after the first event for which a backend server must continue before the answer
     * counts as lasting, in milliseconds.
     */
    private static final double LASTING_MILLIS = 250;

    /** The number of nanoseconds in a millisecond. */
    private static final double NANOS_PER_MILLI = 1e6;

    /** The route of the request. */
    private final Route mRoute;

    /** Records a silence of the backend server. */
    private final ServerFeedback mFeedback;

    /** The local monotonic time of the start or the last event. */
    private volatile long mLastNanos;

    /** The local monotonic time of the start or the last part of the answer. */
    private volatile long mSignNanos;

    /** The local monotonic time at which the request was handed to the backend protocol. */
    private volatile long mSentNanos;

    /** Whether the request has been handed to the backend protocol. */
    private volatile boolean mSent;

    /** The local monotonic time of the first event. */
    private volatile long mFirstNanos;

    /** Whether the caller keeps the last event from being written, so that nothing is read. */
    private volatile boolean mCallerWaits;

    /** Whether the present silence has been reported. */
    private boolean mSilenceReported;

    /** Whether the prompt no longer counts as waiting, since the attempt is stuck. */
    private boolean mPromptReleased;

    /** Whether the first event has been received, so that the prompt has been processed. */
    private volatile boolean mBegun;

    /** Whether the answer has gone on for some time. */
    private volatile boolean mLasted;

    /**
     * Creates the progress of an attempt that starts.
     *
     * @param route the route of the request
     * @param feedback records a silence of the backend server
     * @param nowNanos the local monotonic time
     */
    AttemptProgress(Route route, ServerFeedback feedback, long nowNanos) {
        mRoute = route;
        mFeedback = feedback;
        mLastNanos = nowNanos;
        mSignNanos = nowNanos;
    }

    /**
     * Records that the request is handed to the backend protocol, or that its first byte is sent.
     *
     * @param nowNanos the local monotonic time
     */
    void sent(long nowNanos) {
        mLastNanos = nowNanos;
        mSignNanos = nowNanos;
        mSentNanos = nowNanos;
        mSent = true;
    }

    /**
     * Records that a part of the answer was received, which need not be a whole event.
     *
     * @param nowNanos the local monotonic time
     */
    void received(long nowNanos) {
        mSignNanos = nowNanos;
        mFeedback.heard(nowNanos);
    }

    /**
     * Records the arrival of events.
     *
     * @param nowNanos the local monotonic time
     * @return the time since the start or the event before, in nanoseconds
     */
    long event(long nowNanos) {
        if (!mBegun) {
            mBegun = true;
            mFirstNanos = nowNanos;
        }
        long pause = nowNanos - mLastNanos;
        mLastNanos = nowNanos;
        return pause;
    }

    /**
     * Stops the time of a silence until the caller has read the last event, since nothing is read
     * from the backend server until then.
     *
     * @param written completes when the caller has read the event
     * @param clock the clock
     * @return completes after the time runs again
     */
    CompletableFuture<Void> awaitCaller(CompletableFuture<Void> written, MonotonicClock clock) {
        mCallerWaits = true;
        return written.whenComplete((ignored, failure) -> callerRead(clock.nanos()));
    }

    /**
     * Records that the caller has read the last event.
     *
     * @param nowNanos the local monotonic time
     */
    private void callerRead(long nowNanos) {
        mLastNanos = nowNanos;
        mSignNanos = nowNanos;
        mCallerWaits = false;
    }

    /**
     * Tells whether the first event has been received.
     *
     * @return true if the prompt has been processed
     */
    boolean begun() {
        return mBegun;
    }

    /**
     * Tells whether the answer begins to count as lasting: it goes on, though most requests that
     * crash a backend server do so with the first event.
     *
     * @param nowNanos the local monotonic time
     * @return true the first time that the backend server has continued for long enough
     */
    boolean beginsToLast(long nowNanos) {
        boolean lasts = mBegun && (nowNanos - mFirstNanos) / NANOS_PER_MILLI > LASTING_MILLIS;
        boolean begins = lasts && !mLasted;
        mLasted |= lasts;
        return begins;
    }

    /**
     * Tells whether the answer has gone on for some time.
     *
     * @return true once it counts as lasting
     */
    boolean hasLasted() {
        return mLasted;
    }

    /**
     * Tells whether the backend server has been silent for too long.
     *
     * @param nowNanos the local monotonic time
     * @return true if another backend server should get the request
     */
    boolean silent(long nowNanos) {
        if (!mSent || mCallerWaits) {
            return false;
        }
        double limit =
                mBegun
                        ? PAUSE_TIMEOUT_FACTOR * mRoute.pauseTargetMillis()
                        : ANSWER_TIMEOUT_FACTOR * mRoute.targetMillis();
        double timeoutMillis = Math.max(MIN_TIMEOUT_MILLIS, limit);
        return pauseNanos(nowNanos) / NANOS_PER_MILLI > timeoutMillis;
    }

    /**
     * Tells whether a silence is new, and records it if it is; guarded by the lock of the request.
     *
     * @param nowNanos the local monotonic time
     * @return true the first time since the last event if the backend server is silent
     */
    boolean beginsSilence(long nowNanos) {
        boolean silent = silent(nowNanos);
        boolean begins = silent && !mSilenceReported;
        mSilenceReported = silent;
        if (begins) {
            mFeedback.silent(pauseNanos(nowNanos));
        }
        return begins;
    }

    /**
     * Ends the count of the prompt as waiting, since the attempt is stuck; guarded by the lock of
     * the request.
     *
     * @return true the first time, if there has been no event
     */
    boolean releasePrompt() {
        if (mBegun || mPromptReleased) {
            return false;
        }
        mPromptReleased = true;
        mFeedback.promptProcessed(0);
        return true;
    }

    /**
     * Returns the time at which the request was handed to the backend protocol.
     *
     * @return the local monotonic time
     */
    long sentNanos() {
        return mSentNanos;
    }

    /**
     * Describes a silence for the log.
     *
     * @param server the backend server
     * @param nowNanos the local monotonic time
     * @return the time since the start or the last part of the answer, the time since any sign of
     *     the backend server, and the attempts in progress there
     */
    String describe(BackendServerState server, long nowNanos) {
        return "silent_ms="
                + Math.round(pauseNanos(nowNanos) / NANOS_PER_MILLI)
                + " heard_ms="
                + Math.round((nowNanos - server.silence().heardNanos()) / NANOS_PER_MILLI)
                + " running="
                + server.running();
    }

    /**
     * Returns the time since the start or the last part of the answer.
     *
     * @param nowNanos the local monotonic time
     * @return the time in nanoseconds
     */
    long pauseNanos(long nowNanos) {
        return nowNanos - mSignNanos;
    }
}
