package org.magnoliaseam.testbed.harness;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.magnoliaseam.testbed.http.Json;

/** Parses the server-sent events of a chat answer as they arrive. Not thread-safe. */
final class EventStreamParser {

    /** The prefix of a line with data. */
    private static final String DATA = "data: ";

    /** The data of the end marker. */
    private static final String DONE = "[DONE]";

    /** The text after the last complete line. */
    private final StringBuilder mPending = new StringBuilder();

    /** The text of the answer so far. */
    private final StringBuilder mText = new StringBuilder();

    /** The arrival of each token in milliseconds. */
    private final List<Long> mTokenMillis = new ArrayList<>();

    /** The error that the router reported; null if there is none so far. */
    private CallerError mError;

    /** Whether the end marker has arrived without an error. */
    private boolean mWhole;

    /**
     * Reads a part of the stream.
     *
     * @param part the part
     * @param millis the time of its arrival in milliseconds
     */
    void append(String part, long millis) {
        mPending.append(part);
        int end;
        while ((end = mPending.indexOf("\n")) >= 0) {
            String line = mPending.substring(0, end).strip();
            mPending.delete(0, end + 1);
            if (line.startsWith(DATA)) {
                readEvent(line.substring(DATA.length()), millis);
            }
        }
    }

    /**
     * Returns the text of the answer.
     *
     * @return the text so far
     */
    String text() {
        return mText.toString();
    }

    /**
     * Returns the arrival of each token.
     *
     * @return the times so far
     */
    List<Long> tokenMillis() {
        return List.copyOf(mTokenMillis);
    }

    /**
     * Returns the reported error.
     *
     * @return the error, if any
     */
    Optional<CallerError> error() {
        return Optional.ofNullable(mError);
    }

    /**
     * Tells whether the end marker has arrived without an error.
     *
     * @return whether the answer is complete
     */
    boolean whole() {
        return mWhole;
    }

    /**
     * Reads one event.
     *
     * @param data the data of the event
     * @param millis the time of its arrival in milliseconds
     */
    private void readEvent(String data, long millis) {
        if (data.equals(DONE)) {
            mWhole = mError == null;
            return;
        }
        JsonNode event = Json.tree(data);
        if (event.has("error")) {
            mError = CallerError.of(event.path("error"));
            mWhole = false;
            return;
        }
        JsonNode content = event.path("choices").path(0).path("delta").path("content");
        if (content.isTextual() && !content.asText().isEmpty()) {
            mText.append(content.asText());
            mTokenMillis.add(millis);
        }
    }
}
