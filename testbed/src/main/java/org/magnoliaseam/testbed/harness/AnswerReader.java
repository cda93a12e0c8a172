package org.magnoliaseam.testbed.harness;

import com.fasterxml.jackson.databind.JsonNode;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.eclipse.jetty.client.Response;
import org.eclipse.jetty.client.Result;
import org.eclipse.jetty.http.HttpFields;
import org.magnoliaseam.testbed.http.Json;

/** Reads an answer as it arrives and completes a future with it. */
final class AnswerReader implements Response.Listener {

    /** Whether a successful answer is a stream of events. */
    private final boolean mEvents;

    /** The time at which the request was due. */
    private final long mDueNanos;

    /**
     * The body so far; each part is decoded alone, since parts of streams hold ASCII or whole
     * lines.
     */
    private final StringBuilder mBody = new StringBuilder();

    /** Parses the events of the answer. */
    private final EventStreamParser mParser = new EventStreamParser();

    /** Completed when the answer ends. */
    private final CompletableFuture<CallerAnswer> mAnswer = new CompletableFuture<>();

    /**
     * Creates a reader.
     *
     * @param events whether a successful answer is a stream of events
     * @param dueNanos the time at which the request was due
     */
    AnswerReader(boolean events, long dueNanos) {
        mEvents = events;
        mDueNanos = dueNanos;
    }

    /**
     * Returns the answer.
     *
     * @return the future of the answer, which never fails
     */
    CompletableFuture<CallerAnswer> answer() {
        return mAnswer;
    }

    @Override
    public void onContent(Response response, ByteBuffer content) {
        String part = StandardCharsets.UTF_8.decode(content).toString();
        mBody.append(part);
        if (mEvents) {
            mParser.append(part, elapsedMillis());
        }
    }

    @Override
    public void onComplete(Result result) {
        Response response = result.getResponse();
        int status = response == null ? 0 : response.getStatus();
        HttpFields headers = response == null ? HttpFields.EMPTY : response.getHeaders();
        Optional<String> failure =
                Optional.ofNullable(result.getFailure()).map(Throwable::toString);
        boolean success = status / 100 == 2 && failure.isEmpty();
        Optional<CallerError> error = error(status);
        mAnswer.complete(
                new CallerAnswer(
                        status,
                        headers,
                        mBody.toString(),
                        mEvents ? mParser.text() : text(success),
                        success && (mEvents ? mParser.whole() : error.isEmpty()),
                        error,
                        failure,
                        new CallerTimings(mParser.tokenMillis(), elapsedMillis())));
    }

    /**
     * Returns the reported error.
     *
     * @param status the status
     * @return the error, if any
     */
    private Optional<CallerError> error(int status) {
        if (mParser.error().isPresent() || status / 100 == 2 || mBody.isEmpty()) {
            return mParser.error();
        }
        return tree().filter(node -> node.has("error")).map(n -> CallerError.of(n.path("error")));
    }

    /**
     * Returns the text of a chat answer that is not streamed.
     *
     * @param success whether the answer arrived
     * @return the text, empty if the answer is of another kind
     */
    private String text(boolean success) {
        return success
                ? tree().map(n -> n.at("/choices/0/message/content").asText("")).orElse("")
                : "";
    }

    /**
     * Reads the body as JSON.
     *
     * @return the tree, if the body is valid
     */
    private Optional<JsonNode> tree() {
        try {
            return Optional.of(Json.tree(mBody.toString()));
        } catch (IllegalArgumentException e) {
            return Optional.empty();
        }
    }

    /**
     * Returns the time since the request was due.
     *
     * @return the time in milliseconds
     */
    private long elapsedMillis() {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - mDueNanos);
    }
}
