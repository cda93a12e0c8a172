package org.magnoliaseam.burn;

import java.util.concurrent.TimeUnit;

/** Lists the time windows of the report and their buckets. */
public enum BurnWindow {
    /** Five minutes in buckets of ten seconds. */
    FIVE_MINUTES("5m", 10, 30),
    /** One hour in buckets of a minute. */
    ONE_HOUR("1h", 60, 60),
    /** Six hours in buckets of ten minutes. */
    SIX_HOURS("6h", 600, 36),
    /** Three days in buckets of an hour. */
    THREE_DAYS("3d", 3600, 72);

    /** The name in reports. */
    private final String mText;

    /** The width of a bucket in seconds. */
    private final int mBucketSeconds;

    /** The number of buckets. */
    private final int mBuckets;

    /**
     * Creates a window.
     *
     * @param text the name in reports
     * @param bucketSeconds the width of a bucket in seconds
     * @param buckets the number of buckets
     */
    BurnWindow(String text, int bucketSeconds, int buckets) {
        mText = text;
        mBucketSeconds = bucketSeconds;
        mBuckets = buckets;
    }

    /**
     * Returns the name in reports.
     *
     * @return the name
     */
    public String text() {
        return mText;
    }

    /**
     * Returns the number of buckets.
     *
     * @return the number
     */
    public int buckets() {
        return mBuckets;
    }

    /**
     * Returns the width of a bucket.
     *
     * @return the width in seconds
     */
    public int bucketSeconds() {
        return mBucketSeconds;
    }

    /**
     * Computes the number of the bucket that a time falls into.
     *
     * @param nanos the time since counting started in nanoseconds
     * @return the number of the bucket
     */
    long bucket(long nanos) {
        return Math.floorDiv(nanos, TimeUnit.SECONDS.toNanos(mBucketSeconds));
    }
}
