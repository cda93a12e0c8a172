package org.magnoliaseam.cli;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.magnoliaseam.explain.DecisionRecord;
import org.magnoliaseam.explain.DecisionText;
import org.magnoliaseam.explain.RecordReader;
import org.magnoliaseam.gateway.AccountText;

/**
 * Renders complete decision records and accounts of requests as an explanation, and incomplete
 * records as indented JSON.
 */
public final class TextDecisionRenderer implements DecisionRenderer {

    @Override
    public String render(List<JsonNode> decisions) {
        List<DecisionRecord> records = new ArrayList<>();
        List<String> parts = new ArrayList<>();
        for (JsonNode decision : decisions) {
            Optional<DecisionRecord> record = RecordReader.of(decision);
            record.ifPresentOrElse(
                    records::add,
                    () ->
                            parts.add(
                                    AccountText.render(decision)
                                            .orElseGet(decision::toPrettyString)));
        }
        if (!records.isEmpty()) {
            parts.add(0, DecisionText.render(records));
        }
        return String.join("\n", parts);
    }
}
