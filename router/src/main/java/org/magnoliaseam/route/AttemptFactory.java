package org.magnoliaseam.route;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.magnoliaseam.backend.BackendCall;
import org.magnoliaseam.backend.BackendListener;
import org.magnoliaseam.dispatch.WorkItem;
import org.magnoliaseam.exchange.AnswerSink;
import org.magnoliaseam.exchange.AuthenticatedRequest;
import org.magnoliaseam.exchange.Header;
import org.magnoliaseam.model.BackendServerId;
import org.magnoliaseam.relay.ChatOutput;
import org.magnoliaseam.relay.ChatProgress;
import org.magnoliaseam.relay.ChatRelay;
import org.magnoliaseam.relay.PlainRelay;
import org.magnoliaseam.settings.BackendServer;
import org.magnoliaseam.settings.RequestClass;

/** Creates the dispatcher entries, calls and relays for the attempts of one request. */
final class AttemptFactory {

    /**
     * The ratio of the time limit of an attempt to the target for the complete answer. For chat it
     * limits the silence of the server, for plain services the time until the answer.
     */
    private static final int TIMEOUT_FACTOR = 4;

    /** The time limit of a call whose silence the router limits itself. */
    private static final long NO_TIMEOUT = 0;

    /** The request. */
    private final AuthenticatedRequest mRequest;

    /** Receives the answer for the caller. */
    private final AnswerSink mSink;

    /** The output of a chat answer; empty for plain services. */
    private final Optional<ChatOutput> mOutput;

    /** The part of a chat answer that the caller already has. */
    private final ChatProgress mProgress;

    /** The dependencies that all requests share. */
    private final RequestParts mParts;

    /**
     * Creates a factory.
     *
     * @param request the request
     * @param sink receives the answer for the caller
     * @param output the output of a chat answer; empty for plain services
     * @param progress the part of a chat answer that the caller already has
     * @param parts the dependencies that all requests share
     */
    AttemptFactory(
            AuthenticatedRequest request,
            AnswerSink sink,
            Optional<ChatOutput> output,
            ChatProgress progress,
            RequestParts parts) {
        mRequest = request;
        mSink = sink;
        mOutput = output;
        mProgress = progress;
        mParts = parts;
    }

    /**
     * Creates the dispatcher entry of the request.
     *
     * @param excluded the backend servers that must not run the request
     * @param mayHaveRun whether a backend server may have run the request
     * @param localOnly whether the request must not be handed over to a peer
     * @return the entry
     */
    WorkItem work(Set<BackendServerId> excluded, boolean mayHaveRun, boolean localOnly) {
        RequestClass requestClass = mRequest.requestClass();
        return new WorkItem(
                mRequest.id(),
                requestClass,
                mRequest.account(),
                mRequest.model(),
                mRequest.affinityKey(),
                mRequest.arrivedNanos(),
                Set.copyOf(excluded),
                mayHaveRun,
                mProgress.tokens(),
                mOutput.isPresent() && requestClass.idempotent(),
                localOnly);
    }

    /**
     * Creates the relay of an attempt.
     *
     * @param attempt the attempt
     * @param server the name of the backend server; empty if a peer names it
     * @param reason the reason for the choice
     * @return the relay
     */
    BackendListener relay(Attempt attempt, String server, String reason) {
        List<Header> headers = AnswerHeaders.of(mParts.vm(), server, reason);
        if (mOutput.isPresent()) {
            return new ChatRelay(mRequest.id(), mProgress, mOutput.get(), headers, attempt);
        }
        return new PlainRelay(mSink, headers, attempt);
    }

    /**
     * Creates the call of an attempt.
     *
     * @param server the backend server
     * @return the call
     */
    BackendCall call(BackendServer server) {
        RequestClass requestClass = mRequest.requestClass();
        return new BackendCall(
                server,
                mRequest.id(),
                requestClass.tier(),
                mRequest.method(),
                mRequest.path(),
                mRequest.headers(),
                mRequest.body(),
                mProgress.tokens(),
                requestClass.idempotent(),
                mOutput.isPresent() ? NO_TIMEOUT : limit().toMillis());
    }

    /**
     * Returns the time without a token after which an attempt is ended.
     *
     * @return nanoseconds; no limit for plain services, whose calls have one
     */
    long silenceLimitNanos() {
        return mOutput.isPresent() ? limit().toNanos() : Long.MAX_VALUE;
    }

    /**
     * Returns the time limit of an attempt.
     *
     * @return the limit
     */
    private Duration limit() {
        return mRequest.requestClass().targets().wholeAnswer().multipliedBy(TIMEOUT_FACTOR);
    }
}
