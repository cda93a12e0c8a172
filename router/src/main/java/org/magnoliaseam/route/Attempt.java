package org.magnoliaseam.route;

import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.magnoliaseam.backend.BackendFailure;
import org.magnoliaseam.exchange.AnswerHead;
import org.magnoliaseam.exchange.Cancellation;
import org.magnoliaseam.exchange.Header;
import org.magnoliaseam.model.StartId;
import org.magnoliaseam.relay.RelayEvents;

/** Tracks one attempt to run a request at a backend server or peer. */
final class Attempt implements RelayEvents {

    /** The header field with the start ID of the backend server. */
    private static final String START_ID_HEADER = "X-Start-Id";

    /** The request. */
    private final ActiveRequest mOwner;

    /** The backend server or peer. */
    private final AttemptTarget mTarget;

    /** The local monotonic time at which the attempt was sent. */
    private volatile long mSentNanos;

    /** The local monotonic time of the first token; 0 before it. */
    private volatile long mFirstTokenNanos;

    /** The local monotonic time of the head of the answer; 0 before it. */
    private volatile long mHeadNanos;

    /** The local monotonic time of the last sign of the target, or since the caller reads again. */
    private volatile long mSignNanos;

    /** Whether the answer is not read because the caller does not read. */
    private volatile boolean mCallerWaits;

    /** Whether the attempt was ended for its silence. */
    private volatile boolean mTimedOut;

    /** The start ID of the answering backend server; empty if the answer does not contain it. */
    private volatile Optional<StartId> mStartId = Optional.empty();

    /** The number of tokens that this attempt has relayed. */
    private volatile int mTokens;

    /** Cancels the exchange with the target; null before the exchange has started. */
    private Cancellation mUpstream;

    /** Whether the router cancelled the attempt. */
    private boolean mCancelled;

    /**
     * Creates an attempt.
     *
     * @param owner the request
     * @param target the backend server or peer
     */
    Attempt(ActiveRequest owner, AttemptTarget target) {
        mOwner = owner;
        mTarget = target;
        mSignNanos = owner.nanos();
    }

    @Override
    public boolean sending() {
        mSentNanos = mOwner.nanos();
        return mOwner.attemptSending(this);
    }

    @Override
    public void head(AnswerHead head) {
        mHeadNanos = mOwner.nanos();
        mSignNanos = mHeadNanos;
        for (Header field : head.headers()) {
            if (START_ID_HEADER.equalsIgnoreCase(field.name())) {
                mStartId = Optional.of(new StartId(field.value()));
            }
        }
    }

    @Override
    public void token() {
        boolean first = mTokens == 0;
        mSignNanos = mOwner.nanos();
        if (first) {
            mFirstTokenNanos = mSignNanos;
        }
        mTokens++;
        mOwner.attemptToken(this, first);
    }

    @Override
    public void callerWaits(boolean waits) {
        mSignNanos = mOwner.nanos();
        mCallerWaits = waits;
    }

    @Override
    public void completed() {
        mOwner.attemptCompleted(this);
    }

    @Override
    public void failed(BackendFailure failure, String detail) {
        if (mTimedOut && failure.mayHaveRun()) {
            String silent = "No token came within the time limit.";
            mOwner.attemptFailed(this, BackendFailure.TIMEOUT, silent);
        } else {
            mOwner.attemptFailed(this, failure, detail);
        }
    }

    @Override
    public void callerGone() {
        mOwner.attemptFailed(this, BackendFailure.INCOMPLETE, "The caller reads no more.");
        mOwner.callerGone();
    }

    /**
     * Sets the cancellation of the exchange with the target, and runs it if the attempt is already
     * cancelled.
     *
     * @param upstream cancels the exchange with the target
     */
    synchronized void upstream(Cancellation upstream) {
        mUpstream = upstream;
        if (mCancelled) {
            upstream.cancel();
        }
    }

    /**
     * Ends an attempt at a backend server that has been silent for too long. The time in which the
     * caller keeps the answer from being read does not count.
     *
     * @param limitNanos the time limit in nanoseconds
     */
    synchronized void checkSilence(long limitNanos) {
        boolean silent = !mCallerWaits && mOwner.nanos() - mSignNanos >= limitNanos;
        if (silent && !mTimedOut && mUpstream != null && mTarget instanceof AttemptTarget.Server) {
            mTimedOut = true;
            mUpstream.cancel();
        }
    }

    /** Cancels the attempt. */
    synchronized void cancel() {
        mCancelled = true;
        if (mUpstream != null) {
            mUpstream.cancel();
        }
    }

    /**
     * Returns whether the router cancelled the attempt.
     *
     * @return true after {@link #cancel}
     */
    synchronized boolean cancelled() {
        return mCancelled;
    }

    /**
     * Returns the backend server or peer.
     *
     * @return the target
     */
    AttemptTarget target() {
        return mTarget;
    }

    /**
     * Returns whether this attempt relayed a part of the answer. Resuming such an answer repeats no
     * work that a caller has paid for, so it does not consume retry budget.
     *
     * @return true if at least one token was relayed
     */
    boolean progressed() {
        return mTokens > 0;
    }

    /**
     * Returns the times of this attempt.
     *
     * @return the times measured so far
     */
    AttemptTimes times() {
        long nanosPerMilli = TimeUnit.MILLISECONDS.toNanos(1);
        long first = mFirstTokenNanos == 0 ? mHeadNanos : mFirstTokenNanos;
        double firstMillis = first == 0 ? 0 : (first - mSentNanos) / (double) nanosPerMilli;
        double tokenMillis =
                mTokens < 2 ? 0 : (mOwner.nanos() - first) / (double) nanosPerMilli / (mTokens - 1);
        return new AttemptTimes(mStartId, firstMillis, tokenMillis);
    }
}
