package org.magnoliaseam.placement;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Estimates for each kind of request the size that a tenth of the requests exceed. The estimate
 * moves with each request by a fraction of itself, so that it needs no memory of sizes. Not
 * thread-safe.
 */
final class UpperTenth {

    /** The fraction of the requests that exceed the estimate. */
    private static final double SHARE = 0.1;

    /** The fraction by which an exceeded estimate grows; 30 requests move it by a factor of 4. */
    private static final double STEP = 0.05;

    /** The largest number of kinds; a kind beyond them replaces the one unused for longest. */
    private static final int MAX_KINDS = 64;

    /** The estimates by kind, the one used last at the end. */
    private final Map<String, Estimate> mSizes = new LinkedHashMap<>(16, 0.75f, true);

    /** Estimates the sizes of one kind. */
    private static final class Estimate {

        /** The mean size. */
        private double mMean;

        /** The size that a tenth of the requests exceed. */
        private double mUpper;

        /**
         * Creates an estimate from the first request.
         *
         * @param size its size
         */
        private Estimate(long size) {
            mMean = size;
            mUpper = size;
        }
    }

    /**
     * Compares the size of a request with the estimate, and adapts the estimate. A request of the
     * mean size is not large, so that none is where all sizes are equal.
     *
     * @param kind the kind of the request
     * @param size its size
     * @return true if it belongs to the largest tenth of its kind
     */
    boolean exceeds(String kind, long size) {
        Estimate known = mSizes.computeIfAbsent(kind, added -> new Estimate(size));
        boolean large = size > Math.max(known.mUpper, known.mMean);
        known.mMean += STEP * (size - known.mMean);
        double share = size > known.mUpper ? 1 - SHARE : -SHARE;
        known.mUpper = Math.max(1, known.mUpper * (1 + STEP * share));
        if (mSizes.size() > MAX_KINDS) {
            mSizes.remove(mSizes.keySet().iterator().next());
        }
        return large;
    }
}
