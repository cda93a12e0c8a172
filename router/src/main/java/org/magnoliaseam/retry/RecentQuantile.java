package org.magnoliaseam.retry;

import java.util.Arrays;

/** Computes quantiles of the most recent samples. Not thread-safe. */
public final class RecentQuantile {

    /** The number of samples kept. */
    private static final int CAPACITY = 200;

    /** The number of samples below which no quantile is computed. */
    private static final int MIN_SAMPLES = 20;

    /** The samples; a new one replaces the oldest. */
    private final double[] mSamples = new double[CAPACITY];

    /** The number of samples added so far. */
    private long mCount;

    /**
     * Adds a sample.
     *
     * @param value the sample
     */
    public void add(double value) {
        mSamples[(int) (mCount % CAPACITY)] = value;
        mCount++;
    }

    /**
     * Computes a quantile.
     *
     * @param fraction the quantile, 0 to 1
     * @return the smallest sample such that at least the fraction of all kept samples does not
     *     exceed it; infinite while there are too few samples
     */
    public double quantile(double fraction) {
        int size = (int) Math.min(mCount, CAPACITY);
        if (size < MIN_SAMPLES) {
            return Double.POSITIVE_INFINITY;
        }
        double[] sorted = Arrays.copyOf(mSamples, size);
        Arrays.sort(sorted);
        return sorted[Math.max(0, (int) Math.ceil(fraction * size) - 1)];
    }
}
