package org.magnoliaseam.burn;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

/**
 * Counts requests in the buckets of one window. A ring buffer reuses the slot of a bucket when the
 * window has passed.
 */
final class BurnRing {

    /** The bucket number of a slot that was never used. */
    private static final long UNUSED = Long.MIN_VALUE;

    /** The window. */
    private final BurnWindow mWindow;

    /** The number of the bucket that each slot holds. */
    private final long[] mBucketNumbers;

    /** The number of requests in each slot. */
    private final int[] mTotal;

    /** The number of requests in each slot that missed a target or were refused. */
    private final int[] mBad;

    /**
     * Creates an empty ring.
     *
     * @param window the window
     */
    BurnRing(BurnWindow window) {
        mWindow = window;
        mBucketNumbers = new long[window.buckets()];
        Arrays.fill(mBucketNumbers, UNUSED);
        mTotal = new int[window.buckets()];
        mBad = new int[window.buckets()];
    }

    /**
     * Counts a request.
     *
     * @param bad whether it missed a target or was refused
     * @param nanos the time since counting started in nanoseconds
     */
    synchronized void add(boolean bad, long nanos) {
        long number = mWindow.bucket(nanos);
        int slot = (int) Math.floorMod(number, (long) mBucketNumbers.length);
        if (mBucketNumbers[slot] != number) {
            mBucketNumbers[slot] = number;
            mTotal[slot] = 0;
            mBad[slot] = 0;
        }
        mTotal[slot]++;
        if (bad) {
            mBad[slot]++;
        }
    }

    /**
     * Reads the buckets of the window that ends now.
     *
     * @param nanos the time since counting started in nanoseconds
     * @return the counts, oldest first
     */
    synchronized List<BurnCount> read(long nanos) {
        long last = mWindow.bucket(nanos);
        List<BurnCount> counts = new ArrayList<>(mBucketNumbers.length);
        for (long number = last - mBucketNumbers.length + 1; number <= last; number++) {
            int slot = (int) Math.floorMod(number, (long) mBucketNumbers.length);
            boolean present = mBucketNumbers[slot] == number;
            counts.add(present ? new BurnCount(mTotal[slot], mBad[slot]) : BurnCount.NONE);
        }
        return counts;
    }
}
