package org.magnoliaseam.testbed.engine;

/**
 * Holds the counts of an engine since its process started.
 *
 * @param starts the accepted requests
 * @param completed the requests with a whole answer
 * @param cancelled the requests that were cancelled or whose connection closed
 * @param tokensGenerated the generated tokens
 * @param tokensDelivered the tokens written to the connection
 * @param tokensWasted the generated tokens of answers that this engine did not finish
 * @param tokensResumed the tokens of finished answers that an earlier attempt had generated
 * @param maxRunningWhileCold the most requests at once after a start on the cold engine
 * @param millisAboveColdLimit the milliseconds for which the cold engine exceeded its limit
 * @param fallsOver the failures of the cold engine because it exceeded its limit
 * @param crashes the crashes by requests
 * @param running the requests that are running
 */
public record EngineCounts(
        long starts,
        long completed,
        long cancelled,
        long tokensGenerated,
        long tokensDelivered,
        long tokensWasted,
        long tokensResumed,
        int maxRunningWhileCold,
        long millisAboveColdLimit,
        long fallsOver,
        long crashes,
        int running) {}
