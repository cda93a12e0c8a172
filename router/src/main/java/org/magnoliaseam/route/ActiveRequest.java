package org.magnoliaseam.route;

import java.util.Optional;
import org.magnoliaseam.backend.BackendFailure;
import org.magnoliaseam.backend.BackendListener;
import org.magnoliaseam.dispatch.Decision;
import org.magnoliaseam.dispatch.WorkItem;
import org.magnoliaseam.error.ErrorKind;
import org.magnoliaseam.error.Executed;
import org.magnoliaseam.error.Refusal;
import org.magnoliaseam.exchange.AnswerSink;
import org.magnoliaseam.exchange.AuthenticatedRequest;
import org.magnoliaseam.explain.RecordBuilder;
import org.magnoliaseam.explain.RecordEventKind;
import org.magnoliaseam.model.BackendServerId;
import org.magnoliaseam.relay.ChatOutput;
import org.magnoliaseam.relay.ChatProgress;
import org.magnoliaseam.settings.BackendServer;

/** Tracks one request across its attempts, from its arrival to its end. Thread-safe. */
final class ActiveRequest {

    /** The number of failed attempts after which a request is refused. */
    private static final int MAX_FAILURES = 3;

    /** The request. */
    private final AuthenticatedRequest mRequest;

    /** Receives the answer for the caller. */
    private final AnswerSink mSink;

    /** The dependencies that all requests share. */
    private final RequestParts mParts;

    /** The decision record. */
    private final RecordBuilder mRecord;

    /** Runs when the request has ended. */
    private final Runnable mOnEnd;

    /** The part of a chat answer that the caller already has. */
    private final ChatProgress mProgress;

    /** Creates the dispatcher entries, calls and relays of the attempts. */
    private final AttemptFactory mFactory;

    /** The backend servers that the request must avoid. */
    private final ServerExclusions mExclusions = new ServerExclusions();

    /** The current attempt; null if the request is queued or has ended. */
    private Attempt mAttempt;

    /** Whether a backend server may have run the request. */
    private boolean mMayHaveRun;

    /** Whether the request must not be handed over to a peer. */
    private boolean mLocalOnly;

    /** Whether the request has ended. */
    private boolean mEnded;

    /** The number of failed attempts. */
    private int mFailures;

    /**
     * Creates the state of a request.
     *
     * @param request the request
     * @param sink receives the answer for the caller
     * @param output the output of a chat answer; empty for plain services
     * @param progress the part of a chat answer that the caller already has
     * @param record the decision record
     * @param parts the dependencies that all requests share
     * @param onEnd runs when the request has ended
     */
    ActiveRequest(
            AuthenticatedRequest request,
            AnswerSink sink,
            Optional<ChatOutput> output,
            ChatProgress progress,
            RecordBuilder record,
            RequestParts parts,
            Runnable onEnd) {
        mRequest = request;
        mSink = sink;
        mFactory = new AttemptFactory(request, sink, output, progress, parts);
        mProgress = progress;
        mRecord = record;
        mParts = parts;
        mOnEnd = onEnd;
        mLocalOnly = request.handedOver();
    }

    /** Puts the request into the queue. */
    synchronized void enqueue() {
        if (!mEnded) {
            mRecord.add(RecordEventKind.QUEUED, "", mRequest.requestClass().tier().toString());
            mExclusions.suspect(mParts.guard().suspectExclusions(mRequest));
            mParts.loop().offer(work());
        }
    }

    /**
     * Recomputes the servers that a queued request must avoid as a suspect of crashes. Ends an
     * attempt that has been silent for too long.
     */
    synchronized void tick() {
        if (mAttempt != null) {
            mAttempt.checkSilence(mFactory.silenceLimitNanos());
        } else if (!mEnded
                && mExclusions.refresh(() -> mParts.guard().suspectExclusions(mRequest))) {
            mParts.loop().replace(work());
        }
    }

    /**
     * Starts an attempt at a backend server.
     *
     * @param decision the decision
     */
    synchronized void start(Decision.Start decision) {
        if (mEnded) {
            mParts.loop().finished(mRequest.id());
            return;
        }
        mRecord.add(RecordEventKind.STARTED, decision.server().value(), decision.reason());
        Attempt attempt = new Attempt(this, new AttemptTarget.Server(decision.server()));
        mAttempt = attempt;
        if (mProgress.tokens() > 0) {
            mRecord.add(
                    RecordEventKind.RESUMED,
                    decision.server().value(),
                    "The caller has " + mProgress.tokens() + " tokens.");
        }
        Optional<BackendServer> server = mParts.guard().permit(decision.server(), mRequest);
        if (server.isEmpty()) {
            holdBack(decision.server());
            return;
        }
        BackendListener relay =
                mFactory.relay(attempt, decision.server().value(), decision.reason());
        attempt.upstream(mParts.backend().start(mFactory.call(server.get()), relay));
    }

    /**
     * Forwards the request to a peer with free slots.
     *
     * @param decision the decision
     */
    synchronized void handOver(Decision.HandOver decision) {
        if (mEnded) {
            return;
        }
        mLocalOnly = true;
        mRecord.add(RecordEventKind.HANDED_OVER, decision.peer().value(), decision.reason());
        Attempt attempt = new Attempt(this, new AttemptTarget.Peer(decision.peer()));
        mAttempt = attempt;
        BackendListener relay = mFactory.relay(attempt, "", decision.reason());
        attempt.upstream(
                mParts.peers()
                        .forward(
                                decision.peer(),
                                Forwarding.handOver(
                                        mRequest, mParts.vm(), mProgress.tokens(), nanos()),
                                new PeerAnswerAdapter(relay)));
    }

    /**
     * Cancels the current attempt for a request of a higher tier, then queues this request again.
     *
     * @param decision the decision
     */
    synchronized void preempt(Decision.Preempt decision) {
        if (!mEnded && mAttempt != null) {
            String detail = "For request " + decision.beneficiary() + ": " + decision.reason();
            mRecord.add(RecordEventKind.PREEMPTED, decision.server().value(), detail);
            mAttempt.cancel();
        }
    }

    /**
     * Ends the request with a refusal.
     *
     * @param kind the kind of refusal; adjusted if the request may have run
     * @param detail one sentence for the caller and the record
     */
    synchronized void refuse(ErrorKind kind, String detail) {
        if (mEnded) {
            return;
        }
        ErrorKind reported = mMayHaveRun ? kind.afterStart() : kind;
        mRecord.add(RecordEventKind.REFUSED, reported.text(), detail);
        mSink.refuse(new Refusal(reported, reported.message()));
        end(reported.text(), reported.executed(), false);
    }

    /** Ends the attempt, if there is one, and the request after a failure of the router itself. */
    synchronized void abandon() {
        Attempt attempt = mAttempt;
        if (attempt != null) {
            attempt.cancel();
            release(attempt);
            if (attempt.target() instanceof AttemptTarget.Server server) {
                mParts.guard().ended(server.id(), mRequest, BackendFailure.INCOMPLETE, true);
            }
        }
        refuse(ErrorKind.INTERNAL, "A decision about the request could not be carried out.");
    }

    /**
     * Cancels the request because its caller has disconnected. A non-idempotent request with an
     * attempt in progress continues, so that its ticket can report the outcome.
     */
    synchronized void callerGone() {
        if (mEnded) {
            return;
        }
        Attempt attempt = mAttempt;
        if (attempt != null && !mRequest.requestClass().idempotent()) {
            return;
        }
        if (attempt != null) {
            attempt.cancel();
        } else {
            mParts.loop().withdraw(mRequest.id());
        }
        mRecord.add(RecordEventKind.CALLER_GONE, "", "The connection of the caller was lost.");
        mSink.refuse(Refusal.of(ErrorKind.CALLER_GONE));
        end(ErrorKind.CALLER_GONE.text(), mMayHaveRun ? Executed.UNKNOWN : Executed.NO, false);
    }

    /**
     * Decides immediately before the first byte of an attempt is sent whether it may still be sent.
     *
     * @param attempt the attempt
     * @return true if it may be sent
     */
    synchronized boolean attemptSending(Attempt attempt) {
        if (mEnded || attempt != mAttempt || attempt.cancelled()) {
            return false;
        }
        if (attempt.target() instanceof AttemptTarget.Server server
                && !mParts.guard().confirm(server.id())) {
            return false;
        }
        mRecord.add(RecordEventKind.SENDING, attempt.target().name(), "");
        return true;
    }

    /**
     * Records that a token of an attempt was relayed.
     *
     * @param attempt the attempt
     * @param first whether it is the first token of the attempt
     */
    void attemptToken(Attempt attempt, boolean first) {
        mRecord.token();
        if (first) {
            mRecord.add(RecordEventKind.FIRST_TOKEN, attempt.target().name(), "");
        }
    }

    /**
     * Ends the request after the caller has received the complete answer.
     *
     * @param attempt the attempt
     */
    synchronized void attemptCompleted(Attempt attempt) {
        release(attempt);
        if (attempt.target() instanceof AttemptTarget.Server server) {
            mParts.guard().succeeded(server.id(), mRequest, attempt.times());
        }
        if (!mEnded) {
            mMayHaveRun = true;
            mRecord.add(RecordEventKind.COMPLETED, attempt.target().name(), "");
            end("completed", Executed.YES, true);
        }
    }

    /**
     * Handles a failed attempt: queues the request again or ends it.
     *
     * @param attempt the attempt
     * @param failure the kind of failure
     * @param detail one sentence for the decision record
     */
    synchronized void attemptFailed(Attempt attempt, BackendFailure failure, String detail) {
        boolean cancelled = attempt.cancelled();
        release(attempt);
        if (attempt.target() instanceof AttemptTarget.Server server) {
            mParts.guard().ended(server.id(), mRequest, failure, cancelled);
        }
        if (mEnded) {
            return;
        }
        mMayHaveRun |= failure.mayHaveRun();
        mRecord.add(RecordEventKind.TRY_FAILED, attempt.target().name(), detail);
        if (cancelled) {
            enqueue();
        } else if (failure == BackendFailure.HELD_BACK) {
            requeueWithNewSnapshot();
        } else {
            afterFailure(attempt, failure);
        }
    }

    /**
     * Returns the local monotonic time.
     *
     * @return nanoseconds
     */
    long nanos() {
        return mParts.clock().nanos();
    }

    /**
     * Retries or refuses the request after a failed attempt.
     *
     * @param attempt the attempt
     * @param failure the kind of failure
     */
    private void afterFailure(Attempt attempt, BackendFailure failure) {
        if (attempt.target() instanceof AttemptTarget.Server server) {
            mExclusions.failed(server.id());
        } else if (!failure.mayHaveRun()) {
            enqueue();
            return;
        }
        mFailures++;
        boolean mayHaveRun = failure.mayHaveRun();
        if (mayHaveRun && !mRequest.requestClass().idempotent()) {
            refuse(
                    ErrorKind.OUTCOME_UNKNOWN,
                    "The only try may have run at " + attempt.target().name() + ".");
        } else if (mParts.guard().crashing(mRequest)) {
            refuse(ErrorKind.CRASHED_BACKEND, "The request was running at several crashes.");
        } else if (mFailures >= MAX_FAILURES) {
            refuse(failure.errorKind(), "The largest number of tries has failed.");
        } else if (mayHaveRun && !attempt.progressed() && !mParts.guard().tryAcquireRetry()) {
            refuse(failure.errorKind(), "The retry budget is used up.");
        } else {
            mRecord.add(RecordEventKind.RETRIED, attempt.target().name(), failure.name());
            enqueue();
        }
    }

    /**
     * Queues a started request again because the fleet state no longer permits the attempt.
     *
     * @param server the backend server
     */
    private void holdBack(BackendServerId server) {
        mRecord.add(RecordEventKind.HELD_BACK, server.value(), "The facts no longer allow it.");
        mAttempt = null;
        mParts.loop().finished(mRequest.id());
        requeueWithNewSnapshot();
    }

    /**
     * Describes the request to the dispatcher.
     *
     * @return the description
     */
    private WorkItem work() {
        return mFactory.work(mExclusions.all(), mMayHaveRun, mLocalOnly);
    }

    /** Updates the dispatcher with a new fleet snapshot, then queues the request again. */
    private void requeueWithNewSnapshot() {
        mParts.guard().refresh().ifPresent(mParts.loop()::update);
        enqueue();
    }

    /**
     * Frees the dispatcher slot of an attempt.
     *
     * @param attempt the attempt
     */
    private void release(Attempt attempt) {
        if (attempt.target() instanceof AttemptTarget.Server) {
            mParts.loop().finished(mRequest.id());
        }
        if (attempt == mAttempt) {
            mAttempt = null;
        }
    }

    /**
     * Completes the decision record and runs the callback for the end of the request.
     *
     * @param outcome the outcome
     * @param executed whether the request was run
     * @param whole whether the caller received the complete answer
     */
    private void end(String outcome, Executed executed, boolean whole) {
        mEnded = true;
        mParts.records().accept(mRecord.build(outcome, executed.text(), whole));
        mOnEnd.run();
    }
}
