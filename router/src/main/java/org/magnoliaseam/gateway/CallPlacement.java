package org.magnoliaseam.gateway;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.atomic.AtomicBoolean;
import org.magnoliaseam.backend.BackendFailure;
import org.magnoliaseam.permit.PermitMessage;
import org.magnoliaseam.suspect.SuspectVerdict;

/**
 * Places a request on backend servers: one attempt at a time, with a wait while none has room.
 * Guarded by the lock of the request.
 */
final class CallPlacement {

    /** The busy engines after which the request waits instead of trying another one. */
    private static final int MAX_BUSY_ENGINES = 3;

    /** The request. */
    private final GatewayCall mCall;

    /** The components that the request uses. */
    private final GatewayParts mParts;

    /** The lock of the request, and the actions to run after releasing it. */
    private final DeferredActions mActions;

    /** The answer to the caller. */
    private final CallAnswer mAnswer;

    /** Receives the steps of the request. */
    private final RequestRecord mRecord;

    /** The attempts so far. */
    private final AttemptHistory mHistory = new AttemptHistory();

    /** The wait for a backend server. */
    private final CallWait mWait;

    /** The attempt in progress; null if there is none. */
    private GatewayAttempt mAttempt;

    /** Replaces the attempt in progress if its backend server is silent. */
    private final SilentAttempt mSilent;

    /** The latest claims at engines that were too busy for the request. */
    private final Deque<PermitMessage.Done> mClaims = new ArrayDeque<>();

    /** Whether the request is refused unless it begins as a trial now. */
    private boolean mTrial;

    /** The changes of the causes of crashes that the request was compared with. */
    private int mCheckedChanges;

    /** The engines that were too busy for the request so far. */
    private int mBusyEngines;

    /**
     * Creates the placement of a request without attempts.
     *
     * @param call the request
     * @param parts the components that the request uses
     * @param actions the lock of the request, and the actions to run after releasing it
     * @param answer the answer to the caller
     * @param record receives the steps of the request
     */
    CallPlacement(
            GatewayCall call,
            GatewayParts parts,
            DeferredActions actions,
            CallAnswer answer,
            RequestRecord record) {
        mCall = call;
        mParts = parts;
        mActions = actions;
        mAnswer = answer;
        mRecord = record;
        mWait = new CallWait(call.request(), parts, record);
        mSilent = new SilentAttempt(this, call.request(), parts, actions, answer, record);
    }

    /**
     * Returns the attempts so far.
     *
     * @return the history
     */
    AttemptHistory history() {
        return mHistory;
    }

    /**
     * Returns what replaces the attempt in progress if its backend server is silent.
     *
     * @return the replacement of silent attempts
     */
    SilentAttempt silent() {
        return mSilent;
    }

    /**
     * Returns the wait for a backend server.
     *
     * @return the wait
     */
    CallWait waiting() {
        return mWait;
    }

    /**
     * Returns the attempt in progress.
     *
     * @return the attempt; null if there is none
     */
    GatewayAttempt attempt() {
        return mAttempt;
    }

    /** Forgets the attempt in progress, which has ended. */
    void clear() {
        mAttempt = null;
        mSilent.forget();
    }

    /** Ends the placement, because the request has ended. */
    void end() {
        clear();
        mWait.end();
        mParts.waiting().remove(mCall);
        withdrawClaims();
    }

    /**
     * Starts the first attempt, unless requests of the same or a higher priority wait already.
     *
     * @return false if the request has to be refused
     */
    boolean begin() {
        if (isRefused()) {
            return false;
        }
        mParts.pool().firstTry(mCall.request());
        mParts.waiting().arrived(mCall.request());
        if (!mParts.waiting().mustWait(mCall.request())) {
            return place();
        }
        return mWait.await(mCall, mParts.pool().noRoom(mCall.request()));
    }

    /**
     * Starts an attempt on a backend server, or lets the request wait for one.
     *
     * @return false if the request has to be refused
     */
    boolean place() {
        if (foundCrashing()) {
            return false;
        }
        mParts.waiting().chose();
        ServerChoice choice =
                mParts.pool().choose(mCall.request(), mHistory.excluded(), mWait.isPatient());
        if (choice instanceof ServerChoice.Wait wait) {
            return mWait.await(mCall, wait);
        }
        mAttempt = attemptAt((ServerChoice.Start) choice);
        mActions.add(mAttempt::start);
        return true;
    }

    /**
     * Creates an attempt.
     *
     * @param start the selected backend server
     * @return the attempt, not yet started
     */
    GatewayAttempt attemptAt(ServerChoice.Start start) {
        TryOrder order =
                new TryOrder(
                        mCall.request(),
                        start.entry(),
                        mCall.request().deadlineNanos(),
                        mAnswer.lastEventId(),
                        start.cacheSource());
        return new GatewayAttempt(mCall, this, start, mParts, order);
    }

    /**
     * Runs a step of an attempt, without the lock. If it throws, the request and the attempt end.
     *
     * @param attempt the attempt
     * @param step the step
     */
    void run(GatewayAttempt attempt, Runnable step) {
        if (!mActions.run(step)) {
            attempt.undo();
            mParts.waiting().drain();
        }
    }

    /**
     * Tells whether the request is refused since it crashes backend servers.
     *
     * @return true if it must not be sent
     */
    private boolean isRefused() {
        mCheckedChanges = mParts.pool().crashes().changes();
        SuspectVerdict verdict = mParts.pool().crashes().check(mCall.request());
        mTrial = verdict == SuspectVerdict.TRIAL;
        if (verdict == SuspectVerdict.REFUSED) {
            mWait.refuseAsCrashing();
        }
        return verdict == SuspectVerdict.REFUSED;
    }

    /**
     * Tells whether the request, which waits or has no answer yet, must not run since it was found
     * meanwhile that it crashes backend servers.
     *
     * @return true if it has to end
     */
    boolean foundCrashing() {
        return (mTrial || mCheckedChanges != mParts.pool().crashes().changes())
                && (mAttempt == null || !mAttempt.progress().hasLasted())
                && isRefused();
    }

    /**
     * Tries to start the request if it waits.
     *
     * @return false if it has to be refused
     */
    boolean placeIfWaiting() {
        return !mWait.waiting() || mAttempt != null || mWait.isSettled() || place();
    }

    /**
     * Tells what keeps the request waiting.
     *
     * @return the result of the last try to start it
     */
    WaitingCalls.Attempted attempted() {
        return mWait.attempted(mHistory.excluded().isEmpty());
    }

    /**
     * Tells whether an attempt may still be sent; called right before its first byte is sent. The
     * successor of a silent attempt takes its place here.
     *
     * @param sent the attempt
     * @return true if it is the current attempt and its backend server still accepts it
     */
    boolean sending(GatewayAttempt sent) {
        AtomicBoolean accepted = new AtomicBoolean();
        mActions.decide(
                () -> {
                    boolean confirmed = mParts.pool().confirm(sent.order());
                    if (confirmed && mSilent.replacedBy(sent)) {
                        mAttempt = sent;
                        sent();
                    }
                    accepted.set(confirmed && sent == mAttempt);
                    if (accepted.get()) {
                        sent.progress().sent(mParts.clock().nanos());
                    }
                });
        return accepted.get();
    }

    /**
     * Counts an attempt that is handed to the backend protocol. The successor of a silent attempt
     * counts when it takes its place.
     *
     * @param attempt the attempt
     * @return true if it may be sent; false if it no longer matters
     */
    boolean permitted(GatewayAttempt attempt) {
        AtomicBoolean current = new AtomicBoolean();
        mActions.decide(
                () -> {
                    current.set(attempt == mAttempt || mSilent.isAwaited(attempt));
                    if (attempt == mAttempt) {
                        sent();
                    }
                });
        return current.get();
    }

    /** Counts the attempt in progress, which is about to be sent. */
    private void sent() {
        mHistory.sent();
        mWait.end();
        mParts.waiting().started(mCall);
        withdrawClaims();
        mRecord.add(StepKind.SENT, mAttempt, mAttempt.reason(), mParts.clock().nanos());
    }

    /** Ends the claims at other engines, because the request no longer waits for them. */
    private void withdrawClaims() {
        for (PermitMessage.Done claim : mClaims) {
            mActions.add(() -> mParts.permits().withdraw(claim));
        }
        mClaims.clear();
    }

    /**
     * Selects another backend server after the engine of an attempt was too busy.
     *
     * @param attempt the attempt, which was not sent
     * @return false if the request has to be refused
     */
    boolean busy(GatewayAttempt attempt) {
        if (mSilent.forgetBusy(attempt)) {
            return true;
        }
        if (attempt != mAttempt) {
            mActions.add(() -> mParts.permits().withdraw(attempt.claim()));
            return true;
        }
        mClaims.add(attempt.claim());
        if (mClaims.size() > MAX_BUSY_ENGINES) {
            mClaims.remove();
        }
        clear();
        mBusyEngines++;
        return mBusyEngines % MAX_BUSY_ENGINES == 0
                ? mWait.await(mCall, mParts.pool().noRoom(mCall.request()))
                : place();
    }

    /**
     * Tells whether the request may be repeated after a failed attempt. An attempt that was held
     * back before its first byte costs no retry.
     *
     * @param failure why the attempt failed
     * @return true if it may
     */
    boolean mayRepeat(BackendFailure failure) {
        if (failure == BackendFailure.HELD_BACK) {
            mHistory.heldBack();
            return true;
        }
        return mayRetry();
    }

    /**
     * Takes one retry from the retry budget if the route allows another attempt.
     *
     * @return true if the request may be sent again
     */
    boolean mayRetry() {
        if (!mHistory.allowsAnother(mCall.request().route())) {
            return false;
        }
        boolean allowed = mParts.pool().retries().take(mCall.request());
        if (!allowed) {
            mRecord.add(StepKind.BUDGET_USED_UP, "", "", mParts.clock().nanos());
        }
        return allowed;
    }
}
