package org.magnoliaseam.relay;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import org.magnoliaseam.backend.BackendFailure;
import org.magnoliaseam.backend.BackendListener;
import org.magnoliaseam.backend.SseParser;
import org.magnoliaseam.exchange.AnswerHead;
import org.magnoliaseam.exchange.Header;
import org.magnoliaseam.model.RequestId;

/** Relays the response to one attempt of a chat request to its output, event by event. */
public final class ChatRelay implements BackendListener {

    /** The data of the end marker. It is ignored, since the last event already marks the end. */
    private static final String END_MARKER = "[DONE]";

    /** The header fields of a peer that replace those of this entry VM. */
    private static final Set<String> PEER_HEADERS = Set.of("X-Backend-Server", "X-Decision");

    /** The lowest HTTP status of a server error. */
    private static final int SERVER_ERROR = 500;

    /** The HTTP status of success. */
    private static final int OK = 200;

    /** The request. */
    private final RequestId mId;

    /** The tokens that the caller has. */
    private final ChatProgress mProgress;

    /** The output of the request. */
    private final ChatOutput mOutput;

    /** The header fields that the router adds. */
    private final List<Header> mHeaders;

    /** Receives the progress of the attempt. */
    private final RelayEvents mEvents;

    /** Splits the response into events. */
    private final SseParser mParser = new SseParser();

    /** The failure found in the response; null if none so far. */
    private BackendFailure mFailure;

    /** The HTTP status of the response; 0 before it arrives. */
    private int mStatus;

    /** Whether the output can accept no more, as a rule because the caller is gone. */
    private boolean mCallerGone;

    /**
     * Creates a relay.
     *
     * @param id the request
     * @param progress the tokens that the caller has
     * @param output the output of the request
     * @param headers the header fields that the router adds
     * @param events receives the progress of the attempt
     */
    public ChatRelay(
            RequestId id,
            ChatProgress progress,
            ChatOutput output,
            List<Header> headers,
            RelayEvents events) {
        mId = id;
        mProgress = progress;
        mOutput = output;
        mHeaders = headers;
        mEvents = events;
    }

    @Override
    public boolean sending() {
        return mEvents.sending();
    }

    @Override
    public void head(AnswerHead head) {
        mEvents.head(head);
        mStatus = head.status();
        if (mStatus != OK) {
            mFailure = BackendFailure.SERVER_ERROR;
            return;
        }
        List<Header> headers = new ArrayList<>(mHeaders);
        for (Header field : head.headers()) {
            if (PEER_HEADERS.contains(field.name())) {
                headers.add(field);
            }
        }
        headers.add(new Header("Content-Type", "text/event-stream"));
        headers.add(new Header("Cache-Control", "no-store"));
        mOutput.open(new AnswerHead(OK, headers));
    }

    @Override
    public CompletableFuture<Void> content(ByteBuffer bytes) {
        if (mFailure != null) {
            return CompletableFuture.completedFuture(null);
        }
        CompletableFuture<Void> last = CompletableFuture.completedFuture(null);
        for (String data : mParser.feed(bytes)) {
            CompletableFuture<Void> written = event(data);
            if (mFailure != null) {
                return CompletableFuture.failedFuture(new IllegalStateException("stopped"));
            }
            last = last.thenCombine(written, (a, b) -> null);
        }
        if (mParser.overflowed()) {
            return stop(BackendFailure.INCOMPLETE);
        }
        if (!last.isDone()) {
            mEvents.callerWaits(true);
        }
        return last.whenComplete(
                (ignored, failure) -> {
                    if (failure != null) {
                        mCallerGone = true;
                    }
                    mEvents.callerWaits(false);
                });
    }

    @Override
    public void ended() {
        finish(BackendFailure.INCOMPLETE, "The answer ended without its end marker.");
    }

    @Override
    public void failed(BackendFailure failure, String detail) {
        finish(failure, detail);
    }

    /**
     * Checks one event and relays it, unless the caller already has its token.
     *
     * @param data the data of the event
     * @return completes when the next event may follow; fails if the attempt or the output failed
     */
    private CompletableFuture<Void> event(String data) {
        if (END_MARKER.equals(data)) {
            return CompletableFuture.completedFuture(null);
        }
        Optional<EngineEvent> parsed = EngineEvent.parse(data);
        if (parsed.isEmpty()) {
            return stop(BackendFailure.INCOMPLETE);
        }
        EngineEvent event = parsed.get();
        if (!event.id().equals(mId.value())) {
            return stop(BackendFailure.MISMATCHED);
        }
        boolean gap = event.offset() > mProgress.tokens();
        boolean endsEarly = event.last() && event.offset() < mProgress.tokens();
        if (gap || endsEarly) {
            return stop(BackendFailure.INCOMPLETE);
        }
        if (event.last()) {
            mProgress.finish();
        } else if (event.offset() < mProgress.tokens()) {
            return CompletableFuture.completedFuture(null);
        } else {
            mProgress.advance();
            mEvents.token();
        }
        return mOutput.event(data, event.content());
    }

    /**
     * Marks the attempt as failed, which stops reading.
     *
     * @param failure the kind of failure
     * @return a failed future
     */
    private CompletableFuture<Void> stop(BackendFailure failure) {
        mFailure = failure;
        return CompletableFuture.failedFuture(new IllegalStateException(failure.name()));
    }

    /**
     * Reports the end of the attempt.
     *
     * @param failure the failure to report if the response is incomplete for no other known reason
     * @param detail one sentence for the decision record
     */
    private void finish(BackendFailure failure, String detail) {
        if (mProgress.finished()) {
            mOutput.end();
            mEvents.completed();
        } else if (mCallerGone) {
            mEvents.callerGone();
        } else if (mFailure == BackendFailure.SERVER_ERROR) {
            String cause = mStatus < SERVER_ERROR ? "request" : "server";
            mEvents.failed(mFailure, "The answer was a " + cause + " error: " + mStatus + ".");
        } else if (mFailure != null) {
            mEvents.failed(mFailure, "The stream was stopped: " + mFailure.name() + ".");
        } else {
            mEvents.failed(failure, detail);
        }
    }
}
