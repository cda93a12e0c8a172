package org.magnoliaseam.settings;

import java.time.Duration;

/**
 * Holds the latency targets of a request class.
 *
 * @param firstToken the longest accepted time to the first token; zero for plain services
 * @param betweenTokens the longest accepted time between tokens; zero for plain services
 * @param wholeAnswer the longest accepted time to the end of the answer
 */
public record LatencyTargets(Duration firstToken, Duration betweenTokens, Duration wholeAnswer) {}
