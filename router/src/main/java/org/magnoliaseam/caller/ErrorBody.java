package org.magnoliaseam.caller;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.magnoliaseam.error.ErrorKind;
import org.magnoliaseam.error.Refusal;
import org.magnoliaseam.model.RequestId;

/** Renders refusals as JSON for callers. */
public final class ErrorBody {

    /** Writes JSON. */
    private static final ObjectMapper MAPPER = new ObjectMapper();

    /** Prevents instances of this utility class. */
    private ErrorBody() {}

    /**
     * Renders a refusal.
     *
     * @param refusal the refusal
     * @param id the id of the request
     * @param ticket the ticket with which to repeat the request; empty if none
     * @return the JSON text
     */
    public static String render(Refusal refusal, RequestId id, String ticket) {
        ErrorKind kind = refusal.kind();
        ObjectNode root = MAPPER.createObjectNode();
        ObjectNode error = root.putObject("error");
        error.put("kind", kind.text());
        error.put("message", refusal.detail());
        error.put("executed", kind.executed().text());
        error.put("retryAfterSeconds", kind.retryAfterSeconds());
        error.put("requestId", id.value());
        if (!ticket.isEmpty()) {
            error.put("ticket", ticket);
        }
        return root.toString();
    }
}
