package org.magnoliaseam.placement;

/** Sums amounts with exponential decay. Not thread-safe. */
public final class DecayingCounter {

    /** The number of nanoseconds in a second. */
    private static final double NANOS_PER_SECOND = 1e9;

    /** The time constant of the decay, in nanoseconds. */
    private final double mDecayNanos;

    /** The decayed sum at the last change. */
    private double mSum;

    /** The local monotonic time of the last change. */
    private long mNanos;

    /**
     * Creates a counter at zero.
     *
     * @param decayNanos the time constant of the decay, in nanoseconds
     */
    public DecayingCounter(double decayNanos) {
        mDecayNanos = decayNanos;
    }

    /**
     * Adds an amount.
     *
     * @param amount the amount
     * @param nowNanos the local monotonic time
     */
    public void add(double amount, long nowNanos) {
        mSum = at(nowNanos) + amount;
        mNanos = nowNanos;
    }

    /**
     * Returns the decayed sum.
     *
     * @param nowNanos the local monotonic time
     * @return the sum
     */
    public double at(long nowNanos) {
        if (mSum == 0) {
            return 0;
        }
        return mSum * Math.exp(-Math.max(0, nowNanos - mNanos) / mDecayNanos);
    }

    /**
     * Returns the recent rate, which is exact for a constant rate.
     *
     * @param nowNanos the local monotonic time
     * @return the amount per second
     */
    public double perSecond(long nowNanos) {
        return at(nowNanos) * NANOS_PER_SECOND / mDecayNanos;
    }
}
