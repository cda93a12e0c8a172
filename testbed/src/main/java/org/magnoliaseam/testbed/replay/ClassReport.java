package org.magnoliaseam.testbed.replay;

import java.util.List;
import java.util.Map;

/**
 * Counts the outcomes of one class.
 *
 * @param name the class
 * @param sent the number of requests that were due
 * @param whole the requests with a whole answer
 * @param onTime the requests whose whole answer met all targets
 * @param mismatched the whole answers that differ from the expected ones
 * @param refused the errors that the router reported, by kind
 * @param gaveUp the requests whose caller timed out
 * @param failed the requests that failed without an error from the router
 * @param wholeTokens the tokens of whole answers
 * @param goodputTokens the tokens of answers on time
 * @param firstTokenP50Millis the median time to the first token in milliseconds
 * @param firstTokenP95Millis the 95th percentile of the time to the first token in milliseconds
 * @param endP95Millis the 95th percentile of the time to the end of a whole answer in milliseconds
 * @param intervals the counts by interval of the due time
 */
public record ClassReport(
        String name,
        int sent,
        int whole,
        int onTime,
        int mismatched,
        Map<String, Integer> refused,
        int gaveUp,
        int failed,
        long wholeTokens,
        long goodputTokens,
        long firstTokenP50Millis,
        long firstTokenP95Millis,
        long endP95Millis,
        List<IntervalCounts> intervals) {

    /**
     * Returns the fraction of requests on time.
     *
     * @return the fraction, 0 to 1; 1 if there were none
     */
    public double onTimeFraction() {
        return sent == 0 ? 1 : (double) onTime / sent;
    }

    /**
     * Counts the outcomes of the requests that were due in one interval.
     *
     * @param startMillis the start of the interval in milliseconds since the start of the trace
     * @param sent the number of requests that were due
     * @param whole the requests with a whole answer
     * @param onTime the requests whose whole answer met all targets
     */
    public record IntervalCounts(long startMillis, int sent, int whole, int onTime) {}
}
