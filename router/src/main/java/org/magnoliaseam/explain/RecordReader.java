package org.magnoliaseam.explain;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import org.magnoliaseam.model.ClientAccountId;
import org.magnoliaseam.model.RequestClassId;
import org.magnoliaseam.model.RequestId;
import org.magnoliaseam.model.Tier;
import org.magnoliaseam.model.VmId;

/** Reads decision records from the JSON that {@link RecordJson} writes. */
public final class RecordReader {

    /** Reads JSON. */
    private static final ObjectMapper MAPPER = new ObjectMapper();

    /** Prevents instances of this utility class. */
    private RecordReader() {}

    /**
     * Reads an array of records.
     *
     * @param text the JSON text
     * @return the well-formed records; empty if the text is not a JSON array
     */
    public static Optional<List<DecisionRecord>> array(String text) {
        try {
            JsonNode root = MAPPER.readTree(text);
            if (!root.isArray()) {
                return Optional.empty();
            }
            List<DecisionRecord> records = new ArrayList<>();
            root.forEach(node -> of(node).ifPresent(records::add));
            return Optional.of(records);
        } catch (JsonProcessingException e) {
            return Optional.empty();
        }
    }

    /**
     * Reads a record.
     *
     * @param node the JSON object
     * @return the record, or empty if the object is malformed
     */
    public static Optional<DecisionRecord> of(JsonNode node) {
        try {
            List<RecordEvent> events = new ArrayList<>();
            node.path("events").forEach(event -> events.add(event(event)));
            return Optional.of(
                    new DecisionRecord(
                            new RequestId(text(node, "requestId")),
                            new VmId(text(node, "entryVm")),
                            new ClientAccountId(text(node, "account")),
                            new RequestClassId(text(node, "class")),
                            new Tier(node.path("tier").asInt()),
                            node.path("configurationVersion").asLong(),
                            text(node, "configurationDigest"),
                            node.path("arrivedEpochMillis").asLong(),
                            events,
                            summary(node.path("summary"))));
        } catch (IllegalArgumentException e) {
            return Optional.empty();
        }
    }

    /**
     * Reads an event.
     *
     * @param node the JSON object
     * @return the event
     * @throws IllegalArgumentException if its kind is unknown
     */
    private static RecordEvent event(JsonNode node) {
        String kind = text(node, "kind").toUpperCase(Locale.ROOT);
        return new RecordEvent(
                node.path("atMillis").asLong(),
                RecordEventKind.valueOf(kind),
                text(node, "subject"),
                text(node, "detail"));
    }

    /**
     * Reads a summary.
     *
     * @param node the JSON object
     * @return the summary
     */
    private static RecordSummary summary(JsonNode node) {
        return new RecordSummary(
                text(node, "outcome"),
                text(node, "executed"),
                text(node, "backendServer"),
                node.path("tries").asInt(),
                node.path("queueMillis").asLong(),
                node.path("firstTokenMillis").asLong(),
                node.path("wholeMillis").asLong(),
                node.path("tokenMillis").asDouble(),
                node.path("tokens").asInt(),
                node.path("onTime").asBoolean());
    }

    /**
     * Reads a text field.
     *
     * @param node the JSON object
     * @param name the name of the field
     * @return the text
     * @throws IllegalArgumentException if the field is missing or not a text
     */
    private static String text(JsonNode node, String name) {
        JsonNode field = node.path(name);
        if (!field.isTextual()) {
            throw new IllegalArgumentException("missing field " + name);
        }
        return field.textValue();
    }
}
