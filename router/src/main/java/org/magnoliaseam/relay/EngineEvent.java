package org.magnoliaseam.relay;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.util.Optional;

/**
 * Holds the fields of a model engine's event that the relay needs.
 *
 * @param id the id of the request to which the event belongs
 * @param offset the position in the answer, in tokens from 0
 * @param content the text of the token; empty in the last event
 * @param finishReason why the answer ends; empty in all events but the last
 */
record EngineEvent(String id, int offset, String content, String finishReason) {

    /** Parses JSON. */
    private static final ObjectMapper MAPPER = new ObjectMapper();

    /**
     * Parses the data of a server-sent event.
     *
     * @param data the JSON text
     * @return the event, or empty if the text is malformed
     */
    static Optional<EngineEvent> parse(String data) {
        try {
            JsonNode root = MAPPER.readTree(data);
            JsonNode choice = root.path("choices").path(0);
            return Optional.of(
                    new EngineEvent(
                            root.path("id").asText(),
                            root.path("offset").asInt(),
                            choice.path("delta").path("content").asText(""),
                            choice.path("finish_reason").asText("").replace("null", "")));
        } catch (JsonProcessingException e) {
            return Optional.empty();
        }
    }

    /**
     * Returns whether the event is the last one before the end marker.
     *
     * @return true if it states why the answer ends
     */
    boolean last() {
        return !finishReason.isEmpty();
    }
}
