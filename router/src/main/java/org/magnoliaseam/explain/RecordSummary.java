package org.magnoliaseam.explain;

/**
 * Holds the outcome, times and counts of a request.
 *
 * @param outcome "completed", "caller_gone", or the error kind
 * @param executed whether the request was run: yes, no or unknown
 * @param backendServer the last backend server that was chosen; empty if none
 * @param tries the number of attempts sent to backend servers
 * @param queueMillis the time in the queue in milliseconds
 * @param firstTokenMillis the time from arrival to the first token in milliseconds; -1 if none
 * @param wholeMillis the time from arrival to the end in milliseconds
 * @param tokenMillis the mean time between tokens in milliseconds; 0 if fewer than two
 * @param tokens the number of tokens relayed
 * @param onTime whether the answer was complete and met every target of its class
 */
public record RecordSummary(
        String outcome,
        String executed,
        String backendServer,
        int tries,
        long queueMillis,
        long firstTokenMillis,
        long wholeMillis,
        double tokenMillis,
        int tokens,
        boolean onTime) {}
