package org.magnoliaseam.gateway;

import java.nio.ByteBuffer;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Consumer;
import org.magnoliaseam.backend.BackendFailure;
import org.magnoliaseam.error.ErrorKind;
import org.magnoliaseam.exchange.AnswerHead;

/** Serves one request with attempts until a complete answer, a refusal or the deadline. */
final class GatewayCall {

    /** The lock of the request, and the actions to run after releasing it. */
    private final DeferredActions mActions;

    /** The request. */
    private final GatewayRequest mRequest;

    /** The answer to the caller. */
    private final CallAnswer mAnswer;

    /** The components that the request uses. */
    private final GatewayParts mParts;

    /** Called with this call when it has ended. */
    private final Consumer<GatewayCall> mOnEnd;

    /** The log record of the request. */
    private final RequestRecord mRecord;

    /** The attempts of the request. */
    private final CallPlacement mPlacement;

    /** Whether the request has been started. */
    private boolean mStarted;

    /** Whether the request has ended. */
    private boolean mEnded;

    /**
     * Creates a call.
     *
     * @param request the request
     * @param sink receives the answer
     * @param parts the components that the request uses
     * @param onEnd called with this call when it has ended
     */
    GatewayCall(
            GatewayRequest request,
            GatewaySink sink,
            GatewayParts parts,
            Consumer<GatewayCall> onEnd) {
        mRequest = request;
        mActions = new DeferredActions(parts.failures(), request.id(), this::onUnexpected);
        mAnswer = new CallAnswer(sink, request.lastEventId());
        mParts = parts;
        mOnEnd = onEnd;
        mRecord = new RequestRecord(request);
        mPlacement = new CallPlacement(this, parts, mActions, mAnswer, mRecord);
    }

    /**
     * Returns the request.
     *
     * @return the request
     */
    GatewayRequest request() {
        return mRequest;
    }

    /**
     * Records the time between two events of a stream.
     *
     * @param nanos the time in nanoseconds
     */
    void paused(long nanos) {
        mActions.decide(() -> mRecord.paused(nanos));
    }

    /**
     * Records the time for which the caller kept an event from being written.
     *
     * @param nanos the time in nanoseconds
     */
    private void callerRead(long nanos) {
        mActions.decide(() -> mRecord.callerWaited(nanos));
    }

    /** Starts the first attempt, unless requests of the same or a higher priority wait already. */
    void begin() {
        mActions.decide(
                () -> {
                    mStarted = true;
                    refuseUnless(mPlacement.begin());
                });
    }

    /**
     * Starts the request if it waits and a backend server has room.
     *
     * @return whether it still waits, and why
     */
    WaitingCalls.Attempted tryStart() {
        mActions.decide(() -> refuseUnless(mPlacement.placeIfWaiting()));
        // The attempt starts after the decision, so the result is known only now.
        synchronized (mActions) {
            return mPlacement.attempted();
        }
    }

    /**
     * Ends the request at its deadline, replaces a silent attempt, or refuses a waiting request.
     */
    void tick() {
        mActions.decide(this::onTick);
    }

    /** Implements {@link #tick} under the lock. */
    private void onTick() {
        if (mEnded || !mStarted) {
            return;
        }
        long now = mParts.clock().nanos();
        if (now - mRequest.deadlineNanos() >= 0) {
            expire();
        } else if (mPlacement.foundCrashing()) {
            giveUpAs(ErrorKind.CRASHING_REQUEST);
        } else if (mPlacement.attempt() == null) {
            if (mPlacement.waiting().expired() || mPlacement.waiting().isHopelessLast(this)) {
                fail(mPlacement.waiting().kind());
            }
        } else {
            mPlacement.silent().check(now);
        }
    }

    /** Ends the request because its caller has disconnected. */
    void callerGone() {
        mActions.decide(
                () -> {
                    if (!mEnded) {
                        mRecord.add(StepKind.CALLER_GONE, "", "", mParts.clock().nanos());
                        giveUpRunning();
                        end("caller_gone");
                    }
                });
    }

    /** Ends the request because the process ends. */
    void processEnds() {
        mActions.decide(() -> giveUpAs(ErrorKind.LEAVING));
    }

    /**
     * Tells whether an attempt no longer matters.
     *
     * @param attempt the attempt
     * @return true if the request has ended or another attempt has replaced it
     */
    private boolean isNotCurrent(GatewayAttempt attempt) {
        return mEnded || attempt != mPlacement.attempt();
    }

    /**
     * Adds a step of an attempt to the log record.
     *
     * @param kind what happened
     * @param attempt the attempt
     * @param detail the inputs of the decision or the cause of the failure
     */
    private void record(StepKind kind, GatewayAttempt attempt, String detail) {
        mRecord.add(kind, attempt, detail, mParts.clock().nanos());
    }

    /** Gives up the attempt in progress if there is one. */
    private void giveUpRunning() {
        if (mPlacement.attempt() != null) {
            mActions.add(mPlacement.attempt()::giveUp);
        }
    }

    /**
     * Handles a complete answer that is not a stream.
     *
     * @param from the attempt
     * @param head status and header fields
     * @param body the body
     */
    void answered(GatewayAttempt from, AnswerHead head, byte[] body) {
        mActions.decide(
                () -> {
                    if (isNotCurrent(from)) {
                        return;
                    }
                    if (mAnswer.begun()) {
                        String detail = "status=" + head.status() + " for the rest of a stream";
                        onFailure(from, BackendFailure.SERVER_ERROR, detail);
                        return;
                    }
                    mPlacement.history().countPossibleRun();
                    record(StepKind.ANSWERED, from, "status=" + head.status());
                    mPlacement.clear();
                    if (head.status() >= 500
                            && mRequest.route().idempotent()
                            && mPlacement.mayRetry()) {
                        mAnswer.hold(head, body);
                        mPlacement.history().exclude(from.server().id());
                        refuseUnless(mPlacement.place());
                    } else {
                        mAnswer.whole(head, body);
                        end(head.status() < 300 ? "completed" : "answered_" + head.status());
                    }
                });
    }

    /**
     * Passes events of a stream on to the caller.
     *
     * @param from the attempt
     * @param head status and header fields; passed on once, with the first events
     * @param events the bytes of complete events
     * @param lastId the id of the last of them
     * @return completes when the caller has room for more
     */
    CompletableFuture<Void> events(
            GatewayAttempt from, AnswerHead head, ByteBuffer events, String lastId) {
        AtomicReference<CompletableFuture<Void>> written = new AtomicReference<>();
        mActions.decide(
                () -> {
                    if (isNotCurrent(from)) {
                        IllegalStateException late = new IllegalStateException("attempt has ended");
                        written.set(CompletableFuture.failedFuture(late));
                        return;
                    }
                    if (!mAnswer.begun()) {
                        record(StepKind.FIRST_EVENT, from, "");
                        mAnswer.begin(head);
                    }
                    long begin = mParts.clock().nanos();
                    written.set(mAnswer.events(events, lastId, this::callerGone));
                    written.get().thenRun(() -> callerRead(mParts.clock().nanos() - begin));
                });
        return written.get();
    }

    /**
     * Ends a complete stream.
     *
     * @param from the attempt
     * @param head status and header fields
     */
    void streamEnded(GatewayAttempt from, AnswerHead head) {
        mActions.decide(
                () -> {
                    if (isNotCurrent(from)) {
                        return;
                    }
                    mPlacement.clear();
                    mAnswer.endStream(head);
                    end("completed");
                });
    }

    /**
     * Handles the failure of an attempt and retries where the route and the retry budget allow it.
     *
     * @param failed the attempt
     * @param failure the kind of failure
     * @param detail one sentence for the log record
     */
    void failed(GatewayAttempt failed, BackendFailure failure, String detail) {
        mActions.decide(
                () -> {
                    if (!mPlacement.silent().forgetFailed(failed, failure, detail)) {
                        onFailure(failed, failure, detail);
                    }
                });
    }

    /**
     * Implements {@link #failed} under the lock.
     *
     * @param failed the attempt
     * @param failure the kind of failure
     * @param detail one sentence for the log record
     */
    private void onFailure(GatewayAttempt failed, BackendFailure failure, String detail) {
        if (isNotCurrent(failed)) {
            return;
        }
        mPlacement.clear();
        record(StepKind.valueOf(failure.name()), failed, detail);
        if (failure != BackendFailure.HELD_BACK && !failed.pushedBack()) {
            mPlacement.history().exclude(failed.server().id());
        }
        if (failure.mayHaveRun()) {
            mPlacement.history().countPossibleRun();
        }
        if (failure.mayHaveRun() && !mRequest.route().idempotent()) {
            fail(failure.errorKind());
        } else if (mPlacement.foundCrashing()) {
            fail(ErrorKind.CRASHING_REQUEST);
        } else if (!mPlacement.mayRepeat(failure)) {
            record(StepKind.NOT_REPEATED, failed, mPlacement.history().describe(mRequest.route()));
            boolean ran = mPlacement.history().mayHaveBeenExecuted();
            fail(ran ? failure.errorKind() : ErrorKind.BACKEND_REFUSED);
        } else {
            mPlacement.waiting().restart(mAnswer.begun());
            refuseUnless(mPlacement.place());
        }
    }

    /**
     * Refuses the request if no backend server can answer it in time.
     *
     * @param placed whether an attempt has begun or the request waits
     */
    private void refuseUnless(boolean placed) {
        if (!placed) {
            fail(mPlacement.waiting().kind());
        }
    }

    /**
     * Selects another backend server after the home of an engine reported that too many prompts
     * wait there.
     *
     * @param attempt the attempt, which was not sent
     */
    void busy(GatewayAttempt attempt) {
        mActions.decide(() -> refuseUnless(mPlacement.busy(attempt)));
    }

    /** Ends the request at its deadline. */
    private void expire() {
        boolean ran = mPlacement.attempt() != null || mPlacement.history().mayHaveBeenExecuted();
        giveUpAs(ran ? ErrorKind.BACKEND_TIMEOUT : mPlacement.waiting().kind());
    }

    /**
     * Gives up the attempt in progress, if there is one, and ends the request.
     *
     * @param kind the error kind
     */
    private void giveUpAs(ErrorKind kind) {
        if (mEnded) {
            return;
        }
        if (mPlacement.attempt() != null) {
            mPlacement.history().countPossibleRun();
        }
        giveUpRunning();
        fail(kind);
    }

    /**
     * Ends the request without a complete answer, or with one that reported a server error and was
     * kept for this case.
     *
     * @param kind the error kind
     */
    private void fail(ErrorKind kind) {
        ErrorKind reported = mPlacement.history().reported(kind);
        boolean ran = mPlacement.history().mayHaveBeenExecuted();
        mAnswer.fail(reported, ran ? 0 : mPlacement.waiting().retryAfterMillis());
        end(mAnswer.outcome(reported));
    }

    /** Ends the request after an unexpected failure, without what may have failed. */
    private void onUnexpected() {
        if (mEnded) {
            return;
        }
        boolean ran = mPlacement.attempt() != null || mPlacement.history().mayHaveBeenExecuted();
        ErrorKind kind = ran ? ErrorKind.BACKEND_FAILED : ErrorKind.INTERNAL;
        giveUpRunning();
        mActions.add(() -> mAnswer.fail(kind, 0));
        end(mAnswer.outcome(kind));
    }

    /**
     * Writes the log record and ends the request.
     *
     * @param outcome the outcome for the log
     */
    private void end(String outcome) {
        mEnded = true;
        long now = mParts.clock().nanos();
        mActions.add(() -> mParts.log().ended(mRecord, outcome, now));
        mActions.add(() -> mOnEnd.accept(this));
        mPlacement.end();
    }
}
