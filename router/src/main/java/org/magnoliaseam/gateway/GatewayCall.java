package org.magnoliaseam.gateway;

import java.nio.ByteBuffer;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Consumer;
import org.magnoliaseam.backend.BackendFailure;
import org.magnoliaseam.error.ErrorKind;
import org.magnoliaseam.error.Executed;
import org.magnoliaseam.error.Refusal;
import org.magnoliaseam.exchange.AnswerHead;

/** Serves one request with attempts until a complete answer, a refusal or the deadline. */
final class GatewayCall {

    /** The longest wait for a backend server before a refusal, as a fraction of the target. */
    private static final double MAX_WAIT_SHARE = 0.5;

    /** The number of nanoseconds in a millisecond. */
    private static final long NANOS_PER_MILLI = 1_000_000;

    /** The lock of the request, and the actions to run after releasing it. */
    private final DeferredActions mActions = new DeferredActions();

    /** The request. */
    private final GatewayRequest mRequest;

    /** Receives the answer. */
    private final GatewaySink mSink;

    /** The components that the request uses. */
    private final GatewayParts mParts;

    /** Called with this call when it has ended. */
    private final Consumer<GatewayCall> mOnEnd;

    /** The log record of the request. */
    private final RequestRecord mRecord;

    /** The attempts so far. */
    private final AttemptHistory mHistory = new AttemptHistory();

    /** The attempt in progress; null if there is none. */
    private GatewayAttempt mAttempt;

    /** Whether the head of a stream has been passed on to the caller. */
    private boolean mHeadSent;

    /** The id of the last event that the caller has, from this request or an earlier one. */
    private String mLastEventId;

    /** The local monotonic time since which the request waits for a backend server. */
    private long mWaitingSinceNanos;

    /** The error kind of the latest wait, used if the request is refused. */
    private ErrorKind mWaitKind = ErrorKind.OVERLOADED;

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
        mSink = sink;
        mParts = parts;
        mOnEnd = onEnd;
        mLastEventId = request.lastEventId();
        mRecord = new RequestRecord(request);
        mWaitingSinceNanos = request.arrivedNanos();
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

    /** Starts the first attempt. */
    void begin() {
        mActions.decide(
                () -> {
                    mStarted = true;
                    mParts.pool().firstTry(mRequest);
                    place();
                });
    }

    /** Ends the request at its deadline, gives up a silent attempt, or places a waiting request. */
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
        } else if (mAttempt == null) {
            place();
        } else if (mAttempt.silent(now)
                && mRequest.route().idempotent()
                && mHistory.allowsAnother(mRequest.route())) {
            mRecord.add(StepKind.SILENT, mAttempt.server().id().value(), "", now);
            mActions.add(mAttempt::giveUp);
        }
    }

    /** Ends the request because its caller has disconnected. */
    void callerGone() {
        mActions.decide(
                () -> {
                    if (!mEnded) {
                        mRecord.add(StepKind.CALLER_GONE, "", "", now());
                        giveUpRunning();
                        end("caller_gone");
                    }
                });
    }

    /** Gives up the attempt in progress if there is one. */
    private void giveUpRunning() {
        if (mAttempt != null) {
            mActions.add(mAttempt::giveUp);
        }
    }

    /**
     * Tells whether an attempt may still be sent; called right before its first byte is sent.
     *
     * @param sent the attempt
     * @return true if it is the current attempt and its backend server still accepts it
     */
    boolean sending(GatewayAttempt sent) {
        synchronized (mActions) {
            return !mEnded && sent == mAttempt && mParts.pool().confirm(sent.order());
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
        mActions.decide(() -> handleAnswer(from, head, body));
    }

    /**
     * Retries after a server error where that is allowed, and passes any other answer on.
     *
     * @param from the attempt
     * @param head status and header fields
     * @param body the body
     */
    private void handleAnswer(GatewayAttempt from, AnswerHead head, byte[] body) {
        if (mEnded || from != mAttempt) {
            return;
        }
        boolean serverError = head.status() >= 500;
        mHistory.countPossibleRun();
        mRecord.add(
                StepKind.ANSWERED, from.server().id().value(), "status=" + head.status(), now());
        if (serverError
                && mRequest.route().idempotent()
                && mHistory.allowsAnother(mRequest.route())
                && retry()) {
            mHistory.exclude(from.server().id());
            mAttempt = null;
            place();
            return;
        }
        mAttempt = null;
        mSink.head(head);
        mSink.endWith(ByteBuffer.wrap(body));
        end(head.status() < 300 ? "completed" : "answered_" + head.status());
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
        mActions.decide(() -> written.set(forwardEvents(from, head, events, lastId)));
        return written.get();
    }

    /**
     * Implements {@link #events} under the lock.
     *
     * @param from the attempt
     * @param head status and header fields
     * @param events the bytes of complete events
     * @param lastId the id of the last of them
     * @return completes when the caller has room for more
     */
    private CompletableFuture<Void> forwardEvents(
            GatewayAttempt from, AnswerHead head, ByteBuffer events, String lastId) {
        if (mEnded || from != mAttempt) {
            return CompletableFuture.failedFuture(
                    new IllegalStateException("not the current attempt"));
        }
        if (!mHeadSent) {
            mHeadSent = true;
            mRecord.add(StepKind.FIRST_EVENT, from.server().id().value(), "", now());
            mSink.head(head);
        }
        mLastEventId = lastId.isEmpty() ? mLastEventId : lastId;
        CompletableFuture<Void> written = mSink.write(events);
        written.whenComplete(
                (ignored, failure) -> {
                    if (failure != null) {
                        callerGone();
                    }
                });
        return written;
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
                    if (mEnded || from != mAttempt) {
                        return;
                    }
                    mAttempt = null;
                    if (!mHeadSent) {
                        mSink.head(head);
                    }
                    mSink.end();
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
        mActions.decide(() -> handleFailure(failed, failure, detail));
    }

    /**
     * Retries after a failed attempt where that is allowed, and ends the request otherwise.
     *
     * @param failed the attempt
     * @param failure the kind of failure
     * @param detail one sentence for the log record
     */
    private void handleFailure(GatewayAttempt failed, BackendFailure failure, String detail) {
        if (mEnded || failed != mAttempt) {
            return;
        }
        mAttempt = null;
        mRecord.add(StepKind.valueOf(failure.name()), failed.server().id().value(), detail, now());
        if (failure != BackendFailure.HELD_BACK) {
            mHistory.exclude(failed.server().id());
        }
        if (failure.mayHaveRun()) {
            mHistory.countPossibleRun();
        }
        if (failure.mayHaveRun() && !mRequest.route().idempotent()) {
            fail(failure.errorKind());
        } else if (!mHistory.allowsAnother(mRequest.route()) || !retry()) {
            fail(mHistory.mayHaveBeenExecuted() ? failure.errorKind() : ErrorKind.BACKEND_REFUSED);
        } else {
            mWaitingSinceNanos = now();
            place();
        }
    }

    /** Starts an attempt on a backend server, or lets the request wait until its wait limit. */
    private void place() {
        ServerChoice choice = mParts.pool().choose(mRequest, mHistory.excluded());
        if (choice instanceof ServerChoice.Start start) {
            mHistory.sent();
            mRecord.add(StepKind.SENT, start.server().id().value(), start.reason(), now());
            TryOrder order =
                    new TryOrder(
                            mRequest,
                            start.server().entry(),
                            mRequest.deadlineNanos(),
                            mLastEventId);
            mAttempt = new GatewayAttempt(this, start, mParts, order);
            mActions.add(mAttempt::start);
            return;
        }
        mWaitKind = ((ServerChoice.Wait) choice).kind();
        double waitedMillis = (now() - mWaitingSinceNanos) / (double) NANOS_PER_MILLI;
        if (waitedMillis >= MAX_WAIT_SHARE * mRequest.route().targetMillis()) {
            fail(mWaitKind);
        }
    }

    /**
     * Takes one retry from the retry budget.
     *
     * @return true if the budget allows it
     */
    private boolean retry() {
        boolean allowed = mParts.pool().tryRetry(mRequest);
        if (!allowed) {
            mRecord.add(StepKind.BUDGET_USED_UP, "", "", now());
        }
        return allowed;
    }

    /** Ends the request at its deadline. */
    private void expire() {
        if (mAttempt != null) {
            mHistory.countPossibleRun();
        }
        giveUpRunning();
        fail(mHistory.mayHaveBeenExecuted() ? ErrorKind.BACKEND_TIMEOUT : mWaitKind);
    }

    /**
     * Ends the request without a complete answer.
     *
     * @param kind the error kind
     */
    private void fail(ErrorKind kind) {
        boolean ran = mHistory.mayHaveBeenExecuted();
        ErrorKind reported =
                ran && kind.executed() == Executed.NO ? ErrorKind.BACKEND_FAILED : kind;
        if (mHeadSent) {
            mSink.breakOff();
        } else {
            mSink.refuse(Refusal.of(reported), ran ? 0 : mRequest.retryAfterMillis(now()));
        }
        end((mHeadSent ? "broken_off_" : "refused_") + reported.text());
    }

    /**
     * Returns the current time.
     *
     * @return the local monotonic time
     */
    private long now() {
        return mParts.clock().nanos();
    }

    /**
     * Writes the log record and ends the request.
     *
     * @param outcome the outcome for the log
     */
    private void end(String outcome) {
        mEnded = true;
        mAttempt = null;
        mParts.log().ended(mRecord, outcome, now());
        mOnEnd.accept(this);
    }
}
