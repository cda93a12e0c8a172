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

/** Serves one request: one try after another until a whole answer, a refusal or the deadline. */
final class GatewayCall {

    /** The share of the target that a request waits for a place before it is refused. */
    private static final double WAIT_SHARE = 0.5;

    /** The nanoseconds of a millisecond. */
    private static final long NANOS_PER_MILLI = 1_000_000;

    /** The lock of the request, and what decisions ask for beyond it. */
    private final DeferredActions mActions = new DeferredActions();

    /** The request. */
    private final GatewayRequest mRequest;

    /** Takes the answer. */
    private final GatewaySink mSink;

    /** What the request uses. */
    private final GatewayParts mParts;

    /** Takes the call when it has ended. */
    private final Consumer<GatewayCall> mOnEnd;

    /** The account of the request. */
    private final RequestRecord mRecord;

    /** The tries so far. */
    private final TryHistory mTries = new TryHistory();

    /** The try in progress; null if there is none. */
    private GatewayTry mTry;

    /** Whether the head of the answer has been passed on. */
    private boolean mOpened;

    /** The id of the last event that was passed on, or that the caller had before. */
    private String mLastEventId;

    /** The local monotonic time since which the request waits for a place. */
    private long mWaitingSinceNanos;

    /** Why the request waits. */
    private ErrorKind mWaitKind = ErrorKind.OVERLOADED;

    /** Whether the first try has been asked for. */
    private boolean mBegun;

    /** Whether the request has ended. */
    private boolean mEnded;

    /**
     * Creates a call.
     *
     * @param request the request
     * @param sink takes the answer
     * @param parts what the request uses
     * @param onEnd takes the call when it has ended
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
     * Notes the time between two events of a stream.
     *
     * @param nanos the time in nanoseconds
     */
    void paused(long nanos) {
        mActions.decide(() -> mRecord.paused(nanos));
    }

    /** Starts the first try. */
    void begin() {
        mActions.decide(
                () -> {
                    mBegun = true;
                    mParts.board().firstTry(mRequest);
                    place();
                });
    }

    /** Ends the request at its deadline, gives up a silent try, or places a waiting request. */
    void tick() {
        mActions.decide(this::look);
    }

    /** Decides at a tick. */
    private void look() {
        if (mEnded || !mBegun) {
            return;
        }
        long now = mParts.clock().nanos();
        if (now - mRequest.deadlineNanos() >= 0) {
            expire();
        } else if (mTry == null) {
            place();
        } else if (mTry.silent(now)
                && mRequest.route().idempotent()
                && mTries.mayTryAgain(mRequest.route())) {
            mRecord.add(StepKind.SILENT, mTry.server().id().value(), "", now);
            mActions.add(mTry::giveUp);
        }
    }

    /** Stops the request because its caller is gone. */
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

    /** Gives up the try in progress if there is one. */
    private void giveUpRunning() {
        if (mTry != null) {
            mActions.add(mTry::giveUp);
        }
    }

    /**
     * Asks right before the first byte leaves whether a try may still be sent.
     *
     * @param sent the try
     * @return true if it may
     */
    boolean sending(GatewayTry sent) {
        synchronized (mActions) {
            return !mEnded && sent == mTry && mParts.board().confirm(sent.order());
        }
    }

    /**
     * Passes a whole answer on.
     *
     * @param from the try
     * @param head status and header fields
     * @param body the body
     */
    void answered(GatewayTry from, AnswerHead head, byte[] body) {
        mActions.decide(() -> take(from, head, body));
    }

    /**
     * Decides about a whole answer.
     *
     * @param from the try
     * @param head status and header fields
     * @param body the body
     */
    private void take(GatewayTry from, AnswerHead head, byte[] body) {
        if (mEnded || from != mTry) {
            return;
        }
        boolean serverError = head.status() >= 500;
        mTries.mayHaveRun();
        mRecord.add(
                StepKind.ANSWERED, from.server().id().value(), "status=" + head.status(), now());
        if (serverError
                && mRequest.route().idempotent()
                && mTries.mayTryAgain(mRequest.route())
                && retry()) {
            mTries.met(from.server().id());
            mTry = null;
            place();
            return;
        }
        mTry = null;
        mSink.head(head);
        mSink.endWith(ByteBuffer.wrap(body));
        end(head.status() < 300 ? "completed" : "answered_" + head.status());
    }

    /**
     * Passes events of a stream on.
     *
     * @param from the try
     * @param head status and header fields, which only the first try passes on
     * @param events the bytes of whole events
     * @param lastId the id of the last of them
     * @return completes when the caller has room for more
     */
    CompletableFuture<Void> events(
            GatewayTry from, AnswerHead head, ByteBuffer events, String lastId) {
        AtomicReference<CompletableFuture<Void>> written = new AtomicReference<>();
        mActions.decide(() -> written.set(pass(from, head, events, lastId)));
        return written.get();
    }

    /**
     * Decides about events of a stream.
     *
     * @param from the try
     * @param head status and header fields
     * @param events the bytes of whole events
     * @param lastId the id of the last of them
     * @return completes when the caller has room for more
     */
    private CompletableFuture<Void> pass(
            GatewayTry from, AnswerHead head, ByteBuffer events, String lastId) {
        if (mEnded || from != mTry) {
            return CompletableFuture.failedFuture(new IllegalStateException("not the current try"));
        }
        if (!mOpened) {
            mOpened = true;
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
     * Ends a stream that is whole.
     *
     * @param from the try
     * @param head status and header fields
     */
    void streamEnded(GatewayTry from, AnswerHead head) {
        mActions.decide(
                () -> {
                    if (mEnded || from != mTry) {
                        return;
                    }
                    mTry = null;
                    if (!mOpened) {
                        mSink.head(head);
                    }
                    mSink.end();
                    end("completed");
                });
    }

    /**
     * Takes the failure of a try and tries again where that is allowed.
     *
     * @param failed the try
     * @param failure the kind of failure
     * @param detail one sentence for the account
     */
    void failed(GatewayTry failed, BackendFailure failure, String detail) {
        mActions.decide(() -> takeFailure(failed, failure, detail));
    }

    /**
     * Decides about the failure of a try.
     *
     * @param failed the try
     * @param failure the kind of failure
     * @param detail one sentence for the account
     */
    private void takeFailure(GatewayTry failed, BackendFailure failure, String detail) {
        if (mEnded || failed != mTry) {
            return;
        }
        mTry = null;
        mRecord.add(StepKind.valueOf(failure.name()), failed.server().id().value(), detail, now());
        if (failure != BackendFailure.HELD_BACK) {
            mTries.met(failed.server().id());
        }
        if (failure.mayHaveRun()) {
            mTries.mayHaveRun();
        }
        if (failure.mayHaveRun() && !mRequest.route().idempotent()) {
            fail(failure.errorKind());
        } else if (!mTries.mayTryAgain(mRequest.route()) || !retry()) {
            fail(mTries.ran() ? failure.errorKind() : ErrorKind.BACKEND_REFUSED);
        } else {
            mWaitingSinceNanos = now();
            place();
        }
    }

    /** Places the request on a backend server, or lets it wait. */
    private void place() {
        Choice choice = mParts.board().choose(mRequest, mTries.met());
        if (choice instanceof Choice.Start start) {
            mTries.sent();
            mRecord.add(StepKind.SENT, start.server().id().value(), start.reason(), now());
            TryOrder order =
                    new TryOrder(
                            mRequest,
                            start.server().entry(),
                            mRequest.deadlineNanos(),
                            mLastEventId);
            mTry = new GatewayTry(this, start, mParts, order);
            mActions.add(mTry::start);
            return;
        }
        mWaitKind = ((Choice.Wait) choice).kind();
        double waitedMillis = (now() - mWaitingSinceNanos) / (double) NANOS_PER_MILLI;
        if (waitedMillis >= WAIT_SHARE * mRequest.route().targetMillis()) {
            fail(mWaitKind);
        }
    }

    /**
     * Takes one more try out of the retry budget.
     *
     * @return true if the budget allows it
     */
    private boolean retry() {
        boolean allowed = mParts.board().tryRetry(mRequest);
        if (!allowed) {
            mRecord.add(StepKind.BUDGET_USED_UP, "", "", now());
        }
        return allowed;
    }

    /** Ends the request at its deadline. */
    private void expire() {
        if (mTry != null) {
            mTries.mayHaveRun();
        }
        giveUpRunning();
        fail(mTries.ran() ? ErrorKind.BACKEND_TIMEOUT : mWaitKind);
    }

    /**
     * Ends the request without a whole answer.
     *
     * @param kind the kind of the refusal
     */
    private void fail(ErrorKind kind) {
        boolean ran = mTries.ran();
        ErrorKind told = ran && kind.executed() == Executed.NO ? ErrorKind.BACKEND_FAILED : kind;
        if (mOpened) {
            mSink.breakOff();
        } else {
            mSink.refuse(Refusal.of(told), ran ? 0 : mRequest.comeBackMillis(now()));
        }
        end((mOpened ? "broken_off_" : "refused_") + told.text());
    }

    /**
     * Returns the present moment.
     *
     * @return the local monotonic time
     */
    private long now() {
        return mParts.clock().nanos();
    }

    /**
     * Writes the account and forgets the request.
     *
     * @param outcome how it ended
     */
    private void end(String outcome) {
        mEnded = true;
        mTry = null;
        mParts.log().ended(mRecord, outcome, now());
        mOnEnd.accept(this);
    }
}
