package org.magnoliaseam.caller;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import org.magnoliaseam.error.ErrorKind;
import org.magnoliaseam.error.Refusal;
import org.magnoliaseam.error.Result;
import org.magnoliaseam.model.Identifiers;
import org.magnoliaseam.model.ModelId;

/**
 * Holds the fields of a chat-completions request that the router needs.
 *
 * @param model the requested model
 * @param stream whether the caller wants server-sent events
 * @param affinityKey the hash of the prompt prefix
 * @param engineBody the body for the model engine, which always requests a stream
 */
public record ChatBody(ModelId model, boolean stream, long affinityKey, byte[] engineBody) {

    /** The longest prefix of the prompt that is hashed, in bytes. */
    private static final int PREFIX_BYTES = 256;

    /** Parses JSON. */
    private static final ObjectMapper MAPPER = new ObjectMapper();

    /**
     * Parses a body.
     *
     * @param body the bytes of the body
     * @return the fields, or the refusal of a malformed body
     */
    public static Result<ChatBody, Refusal> parse(byte[] body) {
        JsonNode root;
        try {
            root = MAPPER.readTree(body);
        } catch (JsonProcessingException e) {
            return Result.err(Refusal.of(ErrorKind.INVALID_JSON));
        } catch (IOException e) {
            return Result.err(Refusal.of(ErrorKind.INVALID_JSON));
        }
        if (!(root instanceof ObjectNode object)) {
            return Result.err(Refusal.of(ErrorKind.INVALID_JSON));
        }
        String model = object.path("model").asText();
        if (!Identifiers.isValid(model)) {
            return invalid("The body names no model.");
        }
        JsonNode messages = object.path("messages");
        if (!messages.isArray() || messages.isEmpty()) {
            return invalid("The body holds no messages.");
        }
        boolean stream = object.path("stream").asBoolean(false);
        object.put("stream", true);
        byte[] engineBody = object.toString().getBytes(StandardCharsets.UTF_8);
        return Result.ok(
                new ChatBody(new ModelId(model), stream, prefixHash(messages), engineBody));
    }

    /**
     * Creates the refusal of a body that lacks a required field.
     *
     * @param detail one sentence for the caller
     * @return the refusal
     */
    private static Result<ChatBody, Refusal> invalid(String detail) {
        return Result.err(new Refusal(ErrorKind.INVALID_REQUEST, detail));
    }

    /**
     * Hashes the prefix of the prompt.
     *
     * @param messages the messages
     * @return a hash that is not 0
     */
    private static long prefixHash(JsonNode messages) {
        byte[] text = messages.toString().getBytes(StandardCharsets.UTF_8);
        byte[] prefix = Arrays.copyOf(text, Math.min(text.length, PREFIX_BYTES));
        return Arrays.hashCode(prefix) | 1L << 32;
    }
}
