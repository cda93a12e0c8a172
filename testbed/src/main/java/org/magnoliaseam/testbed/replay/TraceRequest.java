package org.magnoliaseam.testbed.replay;

import com.fasterxml.jackson.annotation.JsonProperty;

/**
 * Holds one request of a trace.
 *
 * @param atMillis the milliseconds since the start of the trace at which the request is due
 * @param key the API key of the client account
 * @param requestClass the request class
 * @param kind the kind
 * @param promptGroup the group of requests that share the beginning of their prompt
 * @param promptTokens the number of words that the group's prompt begins with
 * @param maxTokens the largest number of tokens of the answer; 0 for no limit
 * @param entry the index of the entry VM; it is taken modulo the number of entry VMs
 */
public record TraceRequest(
        long atMillis,
        String key,
        @JsonProperty("class") String requestClass,
        TraceRequestKind kind,
        int promptGroup,
        int promptTokens,
        int maxTokens,
        int entry) {

    /**
     * Returns the prompt of the request.
     *
     * @param index the position of the request in the trace
     * @return the text
     */
    public String prompt(int index) {
        StringBuilder text = new StringBuilder();
        for (int i = 0; i < promptTokens; i++) {
            text.append('g').append(promptGroup).append('w').append(i).append(' ');
        }
        return text.append("request ").append(index).toString();
    }
}
