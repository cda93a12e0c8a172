package org.magnoliaseam.gateway;

import java.util.EnumSet;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import org.magnoliaseam.model.BackendServerId;
import org.magnoliaseam.permit.PermitMessage;
import org.magnoliaseam.placement.RefusalRule;

/**
 * Replaces the attempt in progress of one request if its backend server is silent. The attempt goes
 * on until another one may be sent, since a silent backend server may go on: a silence alone ends
 * no answer. Guarded by the lock of the request.
 */
final class SilentAttempt {

    /** The interval between searches for another backend server, in nanoseconds. */
    private static final long SEARCH_NANOS = 100_000_000L;

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
        if (progress.beginsSilence(nowNanos)) {
            String silence = progress.describe(running.server(), nowNanos);
            mRecord.add(StepKind.SILENT, running, silence, nowNanos);
        }
        boolean due = nowNanos - mSearchedNanos >= SEARCH_NANOS;
        if (mSuccessor == null && due && progress.silent(nowNanos)) {
            mSearchedNanos = nowNanos;
            if (progress.releasesPrompt(running.server(), nowNanos)) {
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

    /** Selects another backend server and asks it for room. */
    private void choose() {
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
     * Gives up the silent attempt if an attempt that may be sent now is its successor. A backend
     * server that has gone on meanwhile keeps the request.
     *
     * @param attempt the attempt that may be sent
     * @return true if it replaces the attempt in progress
     */
    boolean replacedBy(GatewayAttempt attempt) {
        if (attempt != mSuccessor) {
            return false;
        }
        mSuccessor = null;
        GatewayAttempt silent = mPlacement.attempt();
        long now = mParts.clock().nanos();
        if (!silent.progress().silent(now)) {
            return false;
        }
        if (!mParts.pool().tryRetry(mRequest)) {
            keep(KeptReason.BUDGET);
            return false;
        }
        mRecord.add(StepKind.REPLACED, silent, "", now);
        mPlacement.history().countPossibleRun();
        mPlacement.history().exclude(silent.server().id());
        mActions.add(silent::giveUp);
        mKept.clear();
        return true;
    }
}
