package org.magnoliaseam.testbed.harness;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.Optional;
import org.eclipse.jetty.http.HttpFields;
import org.magnoliaseam.testbed.http.Json;

/**
 * Holds the answer that a caller received.
 *
 * @param status the status; 0 if there was no answer
 * @param headers the header fields
 * @param body the body as received
 * @param text the text of a chat answer
 * @param whole whether the answer is complete
 * @param error the error that the router reported
 * @param failure the failure of the connection or the timeout of the caller
 * @param timings the times of arrival
 */
public record CallerAnswer(
        int status,
        HttpFields headers,
        String body,
        String text,
        boolean whole,
        Optional<CallerError> error,
        Optional<String> failure,
        CallerTimings timings) {

    /**
     * Returns a header field.
     *
     * @param name the name
     * @return the value, empty if absent
     */
    public String header(String name) {
        String value = headers.get(name);
        return value == null ? "" : value;
    }

    /**
     * Returns the backend server that answered.
     *
     * @return the name, empty if unknown
     */
    public String backendServer() {
        return header("X-Backend-Server");
    }

    /**
     * Returns the reason for the choice of the backend server.
     *
     * @return one sentence, empty if unknown
     */
    public String decision() {
        return header("X-Decision");
    }

    /**
     * Returns the kind of the error.
     *
     * @return the kind, empty if there was no error
     */
    public String errorKind() {
        return error.map(CallerError::kind).orElse("");
    }

    /**
     * Returns the body as JSON.
     *
     * @return the tree
     */
    public JsonNode json() {
        return Json.tree(body);
    }
}
