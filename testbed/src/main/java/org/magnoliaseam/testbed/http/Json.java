package org.magnoliaseam.testbed.http;

import com.fasterxml.jackson.annotation.JsonInclude;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.SerializationFeature;
import com.fasterxml.jackson.databind.json.JsonMapper;

/** Reads and writes JSON. */
public final class Json {

    /** The mapper; it is safe for use by several threads. */
    private static final ObjectMapper MAPPER =
            JsonMapper.builder()
                    .configure(SerializationFeature.ORDER_MAP_ENTRIES_BY_KEYS, true)
                    .defaultPropertyInclusion(
                            JsonInclude.Value.construct(
                                    JsonInclude.Include.NON_NULL, JsonInclude.Include.NON_NULL))
                    .build();

    /** Prevents instances of this holder. */
    private Json() {}

    /**
     * Reads a value.
     *
     * @param <T> the type of the value
     * @param text the JSON text
     * @param type the type of the value
     * @return the value
     * @throws IllegalArgumentException if the text is not valid
     */
    public static <T> T read(String text, Class<T> type) {
        try {
            T value = MAPPER.readValue(text, type);
            if (value == null) {
                throw new IllegalArgumentException("The JSON text is null");
            }
            return value;
        } catch (JsonProcessingException e) {
            throw new IllegalArgumentException(e.getOriginalMessage(), e);
        }
    }

    /**
     * Reads a tree.
     *
     * @param text the JSON text
     * @return the tree
     * @throws IllegalArgumentException if the text is not valid
     */
    public static JsonNode tree(String text) {
        return read(text, JsonNode.class);
    }

    /**
     * Writes a value.
     *
     * @param value the value
     * @return the JSON text
     */
    public static String write(Object value) {
        try {
            return MAPPER.writeValueAsString(value);
        } catch (JsonProcessingException e) {
            throw new IllegalArgumentException(e.getOriginalMessage(), e);
        }
    }

    /**
     * Writes a tree with the keys of every object in order, so that equal trees give equal texts.
     *
     * @param tree the tree
     * @return the JSON text
     */
    public static String canonical(JsonNode tree) {
        return write(MAPPER.convertValue(tree, Object.class));
    }
}
