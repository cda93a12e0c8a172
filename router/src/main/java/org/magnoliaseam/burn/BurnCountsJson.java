package org.magnoliaseam.burn;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.magnoliaseam.model.RequestClassId;
import org.magnoliaseam.model.VmId;

/** Converts counts to JSON for the exchange between entry VMs, and back. */
public final class BurnCountsJson {

    /** Reads and writes JSON. */
    private static final ObjectMapper MAPPER = new ObjectMapper();

    /** Prevents instances of this utility class. */
    private BurnCountsJson() {}

    /**
     * Encodes counts.
     *
     * @param counts the counts
     * @return the JSON text
     */
    public static String encode(BurnCounts counts) {
        ObjectNode root = MAPPER.createObjectNode();
        ArrayNode sources = root.putArray("sources");
        for (BurnSource source : counts.sources()) {
            sources.addObject()
                    .put("vm", source.vm().value())
                    .put("coveredSeconds", source.coveredSeconds());
        }
        ArrayNode windows = root.putArray("windows");
        counts.windows()
                .forEach(
                        (key, values) -> {
                            ObjectNode node = windows.addObject();
                            node.put("class", key.requestClass().value());
                            node.put("dimension", key.dimension().name());
                            node.put("name", key.name());
                            putCounts(node.putArray("counts"), values);
                        });
        ObjectNode timelines = root.putObject("courses");
        counts.timelines()
                .forEach((id, values) -> putCounts(timelines.putArray(id.value()), values));
        return root.toString();
    }

    /**
     * Decodes counts.
     *
     * @param text the JSON text
     * @return the counts; empty if the text is malformed
     */
    public static Optional<BurnCounts> decode(String text) {
        try {
            return Optional.of(decode(MAPPER.readTree(text)));
        } catch (JsonProcessingException | IllegalArgumentException e) {
            return Optional.empty();
        }
    }

    /**
     * Decodes counts.
     *
     * @param root the JSON object
     * @return the counts
     * @throws IllegalArgumentException if a field is malformed
     */
    private static BurnCounts decode(JsonNode root) {
        if (root.path("sources").isEmpty()) {
            throw new IllegalArgumentException("counts of no entry VM");
        }
        List<BurnSource> sources = new ArrayList<>();
        for (JsonNode node : root.path("sources")) {
            VmId vm = new VmId(node.path("vm").asText());
            sources.add(new BurnSource(vm, node.path("coveredSeconds").asLong()));
        }
        Map<BurnKey, List<BurnCount>> windows = new TreeMap<>(BurnCounts.ORDER);
        for (JsonNode node : root.path("windows")) {
            BurnKey key =
                    new BurnKey(
                            new RequestClassId(node.path("class").asText()),
                            BurnDimension.valueOf(node.path("dimension").asText()),
                            node.path("name").asText());
            windows.put(key, readCounts(node.path("counts"), BurnWindow.values().length));
        }
        Map<RequestClassId, List<BurnCount>> timelines = new HashMap<>();
        root.path("courses")
                .fields()
                .forEachRemaining(
                        field ->
                                timelines.put(
                                        new RequestClassId(field.getKey()),
                                        readCounts(
                                                field.getValue(),
                                                BurnCounts.TIMELINE_WINDOW.buckets())));
        return new BurnCounts(sources, windows, timelines);
    }

    /**
     * Encodes a list of counts as alternating totals and bad counts.
     *
     * @param array the array that the numbers are added to
     * @param counts the counts
     */
    private static void putCounts(ArrayNode array, List<BurnCount> counts) {
        counts.forEach(count -> array.add(count.total()).add(count.bad()));
    }

    /**
     * Decodes a list of counts.
     *
     * @param array alternating totals and bad counts
     * @param length the expected number of counts
     * @return the counts
     * @throws IllegalArgumentException if the length differs
     */
    private static List<BurnCount> readCounts(JsonNode array, int length) {
        if (array.size() != 2 * length) {
            throw new IllegalArgumentException("malformed counts");
        }
        List<BurnCount> counts = new ArrayList<>(length);
        for (int i = 0; i < length; i++) {
            counts.add(new BurnCount(array.get(2 * i).asLong(), array.get(2 * i + 1).asLong()));
        }
        return counts;
    }
}
