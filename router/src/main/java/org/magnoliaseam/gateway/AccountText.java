package org.magnoliaseam.gateway;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.Locale;
import java.util.Optional;

/** Renders the account of a request, a line that {@link RequestLog} wrote, as an explanation. */
public final class AccountText {

    /** Prevents instances of this utility class. */
    private AccountText() {}

    /**
     * Tells whether a log line is the account of a request.
     *
     * @param line the parsed line
     * @param request the id of the request
     * @return true if it is
     */
    public static boolean isAccountOf(JsonNode line, String request) {
        return RequestLog.EVENT.equals(line.path("event").asText())
                && request.equals(line.path("id").asText());
    }

    /**
     * Renders an account.
     *
     * @param line the parsed line
     * @return the text; empty if the line is not the account of a request
     */
    public static Optional<String> render(JsonNode line) {
        if (!RequestLog.EVENT.equals(line.path("event").asText())) {
            return Optional.empty();
        }
        StringBuilder text = new StringBuilder();
        append(
                text,
                "Request %s: %s after %.1f ms; target %d ms, deadline %.0f ms.",
                line.path("id").asText(),
                line.path("outcome").asText(),
                line.path("ms").asDouble(),
                line.path("target_ms").asLong(),
                line.path("deadline_ms").asDouble());
        append(
                text,
                "Route %s, catalog version %d, priority %d, prompt tokens %d, longest pause %d ms.",
                line.path("route").asText(),
                line.path("catalog").asLong(),
                line.path("priority").asInt(),
                line.path("prompt_tokens").asInt(),
                line.path("pause_ms").asLong());
        if (line.has("catalog_end")) {
            append(text, "Catalog version at the end: %d.", line.path("catalog_end").asLong());
        }
        line.path("steps").forEach(step -> append(text, "%s", step(step)));
        return Optional.of(text.toString().stripTrailing());
    }

    /**
     * Renders a step.
     *
     * @param step the step
     * @return one line
     */
    private static String step(JsonNode step) {
        String kind = step.path("step").asText();
        String server = step.path("server").asText();
        String detail = step.path("detail").asText();
        return String.format(Locale.ROOT, "%9.1f ms  ", step.path("ms").asDouble())
                + (server.isEmpty() ? "" : server + ": ")
                + sentence(kind)
                + (detail.isEmpty() ? "" : " (" + detail + ")");
    }

    /**
     * Describes a kind of step.
     *
     * @param name its name in the log
     * @return its sentence; the name itself if another version of the program wrote it
     */
    private static String sentence(String name) {
        for (StepKind kind : StepKind.values()) {
            if (kind.text().equals(name)) {
                return kind.sentence();
            }
        }
        return name;
    }

    /**
     * Appends a line.
     *
     * @param text the text so far
     * @param format the format of the line
     * @param values its values
     */
    private static void append(StringBuilder text, String format, Object... values) {
        text.append(String.format(Locale.ROOT, format, values)).append('\n');
    }
}
