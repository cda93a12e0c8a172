package org.magnoliaseam.cli;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.List;

/** Renders decision records as text. */
@FunctionalInterface
public interface DecisionRenderer {

    /**
     * Renders the records of one request.
     *
     * @param decisions the records, at least one
     * @return one or more lines without a final line end
     */
    String render(List<JsonNode> decisions);
}
