package org.magnoliaseam.gateway;

import java.nio.ByteBuffer;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.magnoliaseam.backend.BackendFailure;
import org.magnoliaseam.exchange.AnswerHead;
import org.magnoliaseam.exchange.Cancellation;
import org.magnoliaseam.permit.PermitMessage;
import org.magnoliaseam.permit.PermitOutcome;
import org.magnoliaseam.pushback.NoticeFault;

/** Tracks one attempt at a backend server and checks that its answer is complete. */
final class GatewayAttempt implements AttemptListener {

    /** The number of nanoseconds in a millisecond. */
    private static final double NANOS_PER_MILLI = 1e6;

    /** The request. */
    private final GatewayCall mCall;

    /** The attempts of the request. */
    private final CallPlacement mPlacement;

    /** The selected backend server and the state at the selection. */
    private final ServerChoice.Start mStart;

    /** Records what the attempt shows about its backend server. */
    private final ServerFeedback mFeedback;

    /** The components that the request uses. */
    private final GatewayParts mParts;

    /** The request as it is sent to the backend server. */
    private final TryOrder mOrder;

    /** The number of the permit. */
    private final long mPermit;

    /** Reads the answer. */
    private final AttemptAnswer mAnswer;

    /** The arrival of the answer. */
    private final AttemptProgress mProgress;

    /** Cancels the exchange; null before it has started. */
    private Cancellation mCancellation;

    /** Whether the attempt has ended. */
    private boolean mEnded;

    /** Whether this entry VM gave up the attempt. */
    private boolean mGivenUp;

    /** Whether the backend server asked for no requests for a time. */
    private volatile boolean mPushedBack;

    /** Whether no other prompt waited at the engine when the permit was granted. */
    private volatile boolean mIdle;

    /**
     * Creates an attempt.
     *
     * @param call the request
     * @param placement the attempts of the request
     * @param start the selected backend server and the state at the selection
     * @param parts the components that the request uses
     * @param order the request as it is sent to the backend server
     */
    GatewayAttempt(
            GatewayCall call,
            CallPlacement placement,
            ServerChoice.Start start,
            GatewayParts parts,
            TryOrder order) {
        mCall = call;
        mPlacement = placement;
        mStart = start;
        mParts = parts;
        mOrder = order;
        mAnswer = new AttemptAnswer(order, parts.answers());
        mFeedback = parts.pool().feedback(start, order.request());
        mPermit = parts.permits().nextId();
        mProgress = new AttemptProgress(order.request().route(), mFeedback, parts.clock().nanos());
    }

    /** Starts the attempt. */
    void start() {
        mPlacement.run(this, this::ask);
    }

    /** Asks for the permit of an engine and sends the request. */
    private void ask() {
        if (!mStart.limits().areForEngine()) {
            proceed();
            return;
        }
        mParts.permits()
                .ask(
                        new PermitMessage.Ask(
                                mPermit,
                                server().id(),
                                mParts.waiting().place(mCall),
                                mStart.uncachedTokens(),
                                mStart.limits().own(),
                                mStart.limits().shared(),
                                mStart.guarded(),
                                mStart.entry().slots()),
                        outcome -> mPlacement.run(this, () -> permitAnswered(outcome)));
    }

    /**
     * Sends the request if its engine has room for the prompt.
     *
     * @param outcome the outcome of asking for the permit
     */
    private void permitAnswered(PermitOutcome outcome) {
        if (outcome instanceof PermitOutcome.Busy busy) {
            mFeedback.permitRefused(busy.waitingTokens());
            undo();
            mCall.busy(this);
            // Other requests would only ask further engines: a refusal frees no room.
            return;
        }
        if (outcome instanceof PermitOutcome.Granted granted) {
            mIdle = granted.waitingTokens() == 0;
            mFeedback.permitGranted(granted.waitingTokens() + mStart.uncachedTokens());
        }
        proceed();
        mParts.waiting().drain();
    }

    /** Sends the request unless the call has ended meanwhile. */
    private void proceed() {
        if (mPlacement.permitted(this)) {
            mFeedback.sent();
            send();
        } else {
            undo();
        }
    }

    /** Ends the attempt before it was sent, or after a failure of this entry VM. */
    void undo() {
        if (markEnded()) {
            mAnswer.release();
            mFeedback.undone();
        }
    }

    /** Sends the request. */
    private void send() {
        mProgress.sent(mParts.clock().nanos());
        Cancellation cancellation = mParts.port().start(mOrder, this);
        boolean alreadyGivenUp;
        synchronized (this) {
            mCancellation = cancellation;
            alreadyGivenUp = mGivenUp;
        }
        if (alreadyGivenUp) {
            cancellation.cancel();
        }
    }

    /** Gives up the attempt and cancels its exchange. */
    void giveUp() {
        Cancellation cancellation;
        synchronized (this) {
            mGivenUp = true;
            cancellation = mCancellation;
        }
        if (cancellation != null) {
            cancellation.cancel();
        }
    }

    /**
     * Returns the backend server.
     *
     * @return its state
     */
    BackendServerState server() {
        return mStart.server();
    }

    /**
     * Returns the notice that ends the permit of the attempt or the claim that its refusal left.
     *
     * @return the notice for the home of the engine
     */
    PermitMessage.Done claim() {
        return new PermitMessage.Done(mPermit, server().id());
    }

    /**
     * Returns the inputs of the selection.
     *
     * @return a short text for the log
     */
    String reason() {
        return mStart.reason();
    }

    /**
     * Returns the request as it is sent to the backend server.
     *
     * @return the request of the attempt
     */
    TryOrder order() {
        return mOrder;
    }

    /**
     * Returns the arrival of the answer.
     *
     * @return the progress of the attempt
     */
    AttemptProgress progress() {
        return mProgress;
    }

    @Override
    public boolean sending() {
        return mPlacement.sending(this);
    }

    @Override
    public void connected(long openedNanos) {
        mFeedback.connected(openedNanos);
    }

    @Override
    public void load(ReportedLoad load) {
        mFeedback.load(load);
    }

    @Override
    public void pushback(long millis) {
        if (isCurrent()) {
            mPushedBack = true;
            mFeedback.pushback(millis);
        }
    }

    @Override
    public boolean full() {
        mPushedBack |= isCurrent() && mFeedback.full();
        return mPushedBack;
    }

    @Override
    public void faultyNotice(NoticeFault fault) {
        mFeedback.faultyNotice(fault);
    }

    /**
     * Tells whether the backend server asked for no requests for a time.
     *
     * @return true if it did in the answer of this attempt
     */
    boolean pushedBack() {
        return mPushedBack;
    }

    @Override
    public void leaving() {
        if (isCurrent()) {
            mFeedback.leaving();
        }
    }

    /**
     * Tells whether the answer still counts.
     *
     * @return false if the attempt has ended or has been given up
     */
    private synchronized boolean isCurrent() {
        return !mEnded && !mGivenUp;
    }

    @Override
    public void head(AnswerHead head) {
        mProgress.received(mParts.clock().nanos());
        mAnswer.begin(head);
        if (!mPushedBack) {
            mFeedback.answered();
        }
    }

    @Override
    public CompletableFuture<Void> content(ByteBuffer bytes) {
        mProgress.received(mParts.clock().nanos());
        Optional<AttemptAnswer.Events> events = mAnswer.receive(bytes);
        if (mAnswer.overflowed()) {
            return CompletableFuture.failedFuture(
                    new IllegalStateException(AttemptAnswer.TOO_LARGE));
        }
        if (events.isEmpty()) {
            return CompletableFuture.completedFuture(null);
        }
        recordProgress();
        AttemptAnswer.Events complete = events.get();
        CompletableFuture<Void> written =
                mCall.events(this, mAnswer.head(), complete.bytes(), complete.lastId());
        return mProgress.awaitCaller(written, mParts.clock());
    }

    @Override
    public void ended() {
        mPlacement.run(
                this,
                () -> {
                    Optional<String> missing = mAnswer.missing();
                    if (missing.isPresent()) {
                        failed(BackendFailure.INCOMPLETE, missing.get());
                        return;
                    }
                    if (!markEnded()) {
                        return;
                    }
                    mFeedback.answerComplete();
                    if (mPushedBack) {
                        mFeedback.ended();
                    } else if (mAnswer.isServerError()) {
                        mFeedback.failed(BackendFailure.SERVER_ERROR);
                    } else {
                        mFeedback.succeeded();
                    }
                    mParts.waiting().drain();
                    if (mAnswer.streamed()) {
                        mCall.streamEnded(this, mAnswer.head());
                    } else {
                        mCall.answered(this, mAnswer.head(), mAnswer.body());
                    }
                    mAnswer.release();
                });
    }

    @Override
    public void failed(BackendFailure failure, String detail) {
        mPlacement.run(
                this,
                () -> {
                    if (!markEnded()) {
                        return;
                    }
                    mAnswer.release();
                    boolean mayBeCrash =
                            failure.mayBeCrash() || failure == BackendFailure.INCOMPLETE;
                    if (!mGivenUp && mayBeCrash) {
                        mFeedback.lost();
                    }
                    if (mPushedBack || mGivenUp && failure == BackendFailure.INCOMPLETE) {
                        mFeedback.ended();
                    } else {
                        mFeedback.failed(failure);
                    }
                    mCall.failed(
                            this, failure, mAnswer.overflowed() ? AttemptAnswer.TOO_LARGE : detail);
                    mParts.waiting().drain();
                });
    }

    /** Records the arrival of events. */
    private void recordProgress() {
        mFeedback.progressed();
        boolean first = !mProgress.begun();
        long now = mParts.clock().nanos();
        long nanos = mProgress.event(now);
        if (first) {
            mFeedback.promptProcessed(mIdle && mStart.measurable() ? nanos / NANOS_PER_MILLI : 0);
            mParts.permits().done(claim());
            mParts.waiting().drain();
        } else {
            mCall.paused(nanos);
        }
        if (mProgress.beginsToLast(now)) {
            mFeedback.lasted();
        }
    }

    /**
     * Marks the attempt as ended.
     *
     * @return false if it had already ended
     */
    private synchronized boolean markEnded() {
        if (mEnded) {
            return false;
        }
        mEnded = true;
        if (!mProgress.begun()) {
            mFeedback.promptProcessed(0);
        }
        mParts.permits().ended(claim());
        return true;
    }
}
