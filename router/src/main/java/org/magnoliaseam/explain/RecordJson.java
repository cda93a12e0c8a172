package org.magnoliaseam.explain;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;

/** Converts decision records to JSON for logs and pages. */
public final class RecordJson {

    /** Creates JSON objects. */
    private static final ObjectMapper MAPPER = new ObjectMapper();

    /** Prevents instances of this utility class. */
    private RecordJson() {}

    /**
     * Converts several records.
     *
     * @param records the records
     * @return the JSON array
     */
    public static ArrayNode array(List<DecisionRecord> records) {
        ArrayNode array = MAPPER.createArrayNode();
        records.forEach(record -> array.add(of(record)));
        return array;
    }

    /**
     * Converts a record.
     *
     * @param record the record
     * @return the JSON object
     */
    public static ObjectNode of(DecisionRecord record) {
        ObjectNode root = MAPPER.createObjectNode();
        root.put("requestId", record.requestId().value());
        root.put("entryVm", record.entryVm().value());
        root.put("account", record.account().value());
        root.put("class", record.requestClass().value());
        root.put("tier", record.tier().rank());
        root.put("configurationVersion", record.configurationVersion());
        root.put("configurationDigest", record.configurationDigest());
        root.put("arrivedEpochMillis", record.arrivedEpochMillis());
        ArrayNode events = root.putArray("events");
        for (RecordEvent event : record.events()) {
            events.addObject()
                    .put("atMillis", event.atMillis())
                    .put("kind", event.kind().text())
                    .put("subject", event.subject())
                    .put("detail", event.detail());
        }
        RecordSummary summary = record.summary();
        root.putObject("summary")
                .put("outcome", summary.outcome())
                .put("executed", summary.executed())
                .put("backendServer", summary.backendServer())
                .put("tries", summary.tries())
                .put("queueMillis", summary.queueMillis())
                .put("firstTokenMillis", summary.firstTokenMillis())
                .put("wholeMillis", summary.wholeMillis())
                .put("tokenMillis", summary.tokenMillis())
                .put("tokens", summary.tokens())
                .put("onTime", summary.onTime());
        return root;
    }
}
