package org.magnoliaseam.testbed.harness;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.OptionalLong;

/**
 * Holds the times of an answer, in milliseconds since the request was due.
 *
 * @param tokenMillis the arrival of each token
 * @param endMillis the end of the answer
 */
public record CallerTimings(List<Long> tokenMillis, long endMillis) {

    /** The percentile, as a fraction, that is reported as the time between tokens. */
    private static final double BETWEEN_TOKENS_PERCENTILE = 0.95;

    /**
     * Returns the time to the first token.
     *
     * @return the time, if there was a token
     */
    public OptionalLong firstTokenMillis() {
        return tokenMillis.isEmpty() ? OptionalLong.empty() : OptionalLong.of(tokenMillis.get(0));
    }

    /**
     * Returns the 95th percentile of the times between tokens.
     *
     * @return the time; 0 if there are fewer than two tokens
     */
    public long betweenTokensMillis() {
        List<Long> gaps = new ArrayList<>();
        for (int i = 1; i < tokenMillis.size(); i++) {
            gaps.add(tokenMillis.get(i) - tokenMillis.get(i - 1));
        }
        Collections.sort(gaps);
        int rank = (int) Math.ceil(BETWEEN_TOKENS_PERCENTILE * gaps.size());
        return gaps.isEmpty() ? 0 : gaps.get(rank - 1);
    }
}
