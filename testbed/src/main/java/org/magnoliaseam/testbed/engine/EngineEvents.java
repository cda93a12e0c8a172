package org.magnoliaseam.testbed.engine;

import com.fasterxml.jackson.annotation.JsonInclude;
import com.fasterxml.jackson.annotation.JsonProperty;
import java.util.List;
import org.magnoliaseam.testbed.http.Json;

/** Writes the server-sent events of an answer. */
final class EngineEvents {

    /** The event that marks the end of an answer. */
    static final String END_MARKER = "data: [DONE]\n\n";

    /** The type of every event. */
    private static final String CHUNK = "chat.completion.chunk";

    /** Prevents instances of this holder. */
    private EngineEvents() {}

    /**
     * Writes the event of a token.
     *
     * @param id the request
     * @param model the model
     * @param offset the index of the token
     * @param token the token
     * @return the event
     */
    static String token(String id, String model, int offset, String token) {
        return event(id, model, offset, new Choice(0, new Delta(token), null));
    }

    /**
     * Writes the last event before the end marker.
     *
     * @param id the request
     * @param model the model
     * @param offset the number of tokens of the whole answer
     * @return the event
     */
    static String stop(String id, String model, int offset) {
        return event(id, model, offset, new Choice(0, new Delta(null), "stop"));
    }

    /**
     * Writes an event.
     *
     * @param id the request
     * @param model the model
     * @param offset the index of the token
     * @param choice the content
     * @return the event
     */
    private static String event(String id, String model, int offset, Choice choice) {
        return "data: " + Json.write(new Chunk(id, CHUNK, model, offset, List.of(choice))) + "\n\n";
    }

    /**
     * Holds one event.
     *
     * @param id the request
     * @param object the type of the event
     * @param model the model
     * @param offset the index of the token
     * @param choices the content
     */
    private record Chunk(
            String id, String object, String model, int offset, List<Choice> choices) {}

    /**
     * Holds the content of an event.
     *
     * @param index the index of the choice
     * @param delta the new text
     * @param finishReason the reason of the end, or null
     */
    @JsonInclude(JsonInclude.Include.ALWAYS)
    private record Choice(
            int index, Delta delta, @JsonProperty("finish_reason") String finishReason) {}

    /**
     * Holds new text.
     *
     * @param content the text, or null
     */
    private record Delta(String content) {}
}
