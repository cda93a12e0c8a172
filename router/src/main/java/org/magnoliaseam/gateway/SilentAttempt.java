package org.magnoliaseam.gateway;

import java.util.EnumSet;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import org.magnoliaseam.backend.BackendFailure;
import org.magnoliaseam.model.BackendServerId;
import org.magnoliaseam.permit.PermitMessage;
import org.magnoliaseam.placement.RefusalRule;

/**
 * Replaces the attempt in progress of one request if its backend server is silent. The attempt goes
 * on until the first byte of another one can be sent, since a silent backend server may go on: a
 * silence alone ends no answer. Guarded by the lock of the request.
 */
final class SilentAttempt {

    /** The interval between searches for another backend server, in nanoseconds. */
    private static final long SEARCH_NANOS = 100_000_000L;

    /** The silences of a request of which its log record has a step. */
    private static final int MAX_LOGGED_SILENCES = 8;

    /** The multiple of the time to process all that waits after which an attempt is stuck. */
    private static final double STUCK_FACTOR = 3;

    /** The number of nanoseconds in a millisecond. */
    private static final double NANOS_PER_MILLI = 1e6;

    /** The attempts of the request. */
    private final CallPlacement mPlacement;

    /** The request. */
    private final GatewayRequest mRequest;

    /** The components that the request uses. */
    private final GatewayParts mParts;

    /** The actions to run after releasing the lock of the request. */
    private final DeferredActions mActions;

    /** The answer to the caller. */
    private final CallAnswer mAnswer;

    /** Receives the steps of the request. */
    private final RequestRecord mRecord;

    /** The attempt that is to replace the silent one; null if there is none. */
    private GatewayAttempt mSuccessor;

    /** The silences so far. */
    private int mSilences;

    /** The local monotonic time of the last search for another backend server. */
    private long mSearchedNanos;

    /** Why the attempt in progress went on so far. */
    private final Set<KeptReason> mKept = EnumSet.noneOf(KeptReason.class);

    /**
     * Creates the replacement of silent attempts.
     *
     * @param placement the attempts of the request
     * @param request the request
     * @param parts the components that the request uses
     * @param actions the actions to run after releasing the lock of the request
     * @param answer the answer to the caller
     * @param record receives the steps of the request
     */
    SilentAttempt(
            CallPlacement placement,
            GatewayRequest request,
            GatewayParts parts,
            DeferredActions actions,
            CallAnswer answer,
            RequestRecord record) {
        mPlacement = placement;
        mRequest = request;
        mParts = parts;
        mActions = actions;
        mAnswer = answer;
        mRecord = record;
        mSearchedNanos = request.arrivedNanos() - SEARCH_NANOS;
    }

    /**
     * Looks for another backend server if the one of the attempt in progress is silent.
     *
     * @param nowNanos the local monotonic time
     */
    void check(long nowNanos) {
        GatewayAttempt running = mPlacement.attempt();
        AttemptProgress progress = running.progress();
        if (progress.beginsSilence(nowNanos) && mSilences++ < MAX_LOGGED_SILENCES) {
            String silence = progress.describe(running.server(), nowNanos);
            mRecord.add(StepKind.SILENT, running, silence, nowNanos);
        }
        boolean due = nowNanos - mSearchedNanos >= SEARCH_NANOS;
        if (mSuccessor == null && due && progress.silent(nowNanos)) {
            mSearchedNanos = nowNanos;
            if (isStuck(running, nowNanos) && progress.releasePrompt()) {
                PermitMessage.Done claim = running.claim();
                mActions.add(() -> mParts.permits().done(claim));
                mActions.add(mParts.waiting()::drain);
            }
            Optional<KeptReason> reason = keptReason(nowNanos);
            if (reason.isEmpty()) {
                choose();
            } else {
                keep(reason.get());
            }
        }
    }

    /**
     * Tells whether an attempt is stuck and does not wait in a queue of its backend server.
     *
     * @param attempt the attempt, which is silent
     * @param nowNanos the local monotonic time
     * @return true if a later one has been answered, or if others are answered and all that waits
     *     should have been processed long ago
     */
    private boolean isStuck(GatewayAttempt attempt, long nowNanos) {
        long pauseNanos = attempt.progress().pauseNanos(nowNanos);
        synchronized (mParts.pool()) {
            BackendServerState server = attempt.server();
            double queueMillis =
                    server.times().processingMillis(server.countedTokens(nowNanos), nowNanos);
            return server.silence().hasAnsweredAfter(attempt.progress().sentNanos())
                    || server.silence().isHeard(pauseNanos, nowNanos)
                            && pauseNanos > STUCK_FACTOR * queueMillis * NANOS_PER_MILLI;
        }
    }

    /**
     * Tells why the silent attempt should go on whatever the other backend servers do.
     *
     * @param nowNanos the local monotonic time
     * @return the reason; empty if another backend server may get the request
     */
    private Optional<KeptReason> keptReason(long nowNanos) {
        if (!mRequest.route().idempotent()) {
            return Optional.of(KeptReason.NOT_REPEATABLE);
        }
        if (!mPlacement.history().allowsSuccessor(mRequest.route())) {
            return Optional.of(KeptReason.ATTEMPTS);
        }
        if (!mParts.pool().retries().allows(mRequest)) {
            return Optional.of(KeptReason.BUDGET);
        }
        long pauseNanos = mPlacement.attempt().progress().pauseNanos(nowNanos);
        long giveUpNanos =
                mAnswer.begun()
                        ? mRequest.eventDeadlineNanos(nowNanos - pauseNanos)
                        : mRequest.firstEventDeadlineNanos();
        double answerMillis = mParts.pool().fastestAnswerMillis(mRequest);
        return RefusalRule.isHopeless(nowNanos, 0, answerMillis, giveUpNanos)
                ? Optional.of(KeptReason.TIME)
                : Optional.empty();
    }

    /** Selects another backend server, unless requests that wait go before, and asks for room. */
    private void choose() {
        if (mParts.waiting().mustWait(mRequest)) {
            keep(KeptReason.NO_SERVER);
            return;
        }
        Set<BackendServerId> excluded = new HashSet<>(mPlacement.history().excluded());
        excluded.add(mPlacement.attempt().server().id());
        mParts.waiting().chose();
        ServerChoice choice = mParts.pool().chooseSuccessor(mRequest, excluded);
        if (choice instanceof ServerChoice.Start start) {
            mSuccessor = mPlacement.attemptAt(start);
            mActions.add(mSuccessor::start);
        } else {
            keep(KeptReason.NO_SERVER);
        }
    }

    /**
     * Records why the silent attempt goes on, once for each reason.
     *
     * @param reason the reason
     */
    private void keep(KeptReason reason) {
        if (mKept.add(reason)) {
            long now = mParts.clock().nanos();
            mRecord.add(StepKind.KEPT, mPlacement.attempt(), reason.text(), now);
        }
    }

    /**
     * Forgets the successor if its engine was too busy for it.
     *
     * @param attempt an attempt that was not sent
     * @return false if it is not the successor
     */
    boolean forgetBusy(GatewayAttempt attempt) {
        if (attempt != mSuccessor) {
            return false;
        }
        mSuccessor = null;
        PermitMessage.Done claim = attempt.claim();
        mActions.add(() -> mParts.permits().withdraw(claim));
        keep(KeptReason.BUSY);
        return true;
    }

    /** Forgets the successor, because the attempt in progress has ended. */
    void forget() {
        mSuccessor = null;
        mKept.clear();
    }

    /**
     * Tells whether an attempt is to replace the silent one, and forgets it if the silent one has
     * gone on.
     *
     * @param attempt the attempt
     * @return true if it is the successor and may still take the place of the silent one
     */
    boolean isAwaited(GatewayAttempt attempt) {
        if (attempt != mSuccessor) {
            return false;
        }
        boolean continues = attempt.order().lastEventId().equals(mAnswer.lastEventId());
        if (!continues || !mPlacement.attempt().progress().silent(mParts.clock().nanos())) {
            mSuccessor = null;
        }
        return mSuccessor != null;
    }

    /**
     * Forgets the successor if it failed before its first byte, so that the silent attempt goes on.
     *
     * @param attempt an attempt that failed
     * @param failure the kind of failure
     * @param detail one sentence for the log record
     * @return false if it is not the successor
     */
    boolean forgetFailed(GatewayAttempt attempt, BackendFailure failure, String detail) {
        if (attempt != mSuccessor) {
            return false;
        }
        mSuccessor = null;
        long now = mParts.clock().nanos();
        mRecord.add(StepKind.valueOf(failure.name()), attempt, detail, now);
        if (failure != BackendFailure.HELD_BACK) {
            mPlacement.history().exclude(attempt.server().id());
        }
        return true;
    }

    /**
     * Gives up the silent attempt if the first byte of its successor can be sent now. A backend
     * server that has gone on meanwhile keeps the request.
     *
     * @param attempt the attempt that can be sent
     * @return true if it takes the place of the attempt in progress
     */
    boolean replacedBy(GatewayAttempt attempt) {
        if (!isAwaited(attempt)) {
            return false;
        }
        mSuccessor = null;
        if (!mParts.pool().retries().take(mRequest)) {
            keep(KeptReason.BUDGET);
            return false;
        }
        GatewayAttempt silent = mPlacement.attempt();
        mRecord.add(StepKind.REPLACED, silent, "", mParts.clock().nanos());
        mPlacement.history().countPossibleRun();
        mActions.add(silent::giveUp);
        mKept.clear();
        return true;
    }
}
