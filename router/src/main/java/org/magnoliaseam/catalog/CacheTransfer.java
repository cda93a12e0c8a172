package org.magnoliaseam.catalog;

/**
 * Holds what a transfer of cached prompt parts between two engines of a service costs.
 *
 * @param bytesPerToken the cache of one prompt token in bytes
 * @param megabitsPerSecond the bandwidth between two engines in megabits per second
 */
public record CacheTransfer(long bytesPerToken, double megabitsPerSecond) {

    /** The number of bits in a byte. */
    private static final double BITS_PER_BYTE = 8;

    /** The number of bits per millisecond in a megabit per second. */
    private static final double BITS_PER_MILLI = 1000;

    /**
     * Predicts the time of a transfer without others beside it.
     *
     * @param tokens the cached prompt tokens
     * @return the time in milliseconds
     */
    public double millis(long tokens) {
        return tokens * bytesPerToken * BITS_PER_BYTE / (megabitsPerSecond * BITS_PER_MILLI);
    }
}
