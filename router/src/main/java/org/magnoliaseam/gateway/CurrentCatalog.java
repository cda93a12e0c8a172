package org.magnoliaseam.gateway;

import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.AtomicReference;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.magnoliaseam.catalog.Catalog;
import org.magnoliaseam.time.MonotonicClock;

/**
 * Holds the current catalog and the time of its last confirmation. Thread-safe and lock-free, since
 * each request reads it.
 */
public final class CurrentCatalog {

    /** Logs changes of the catalog. */
    private static final Logger LOG = LogManager.getLogger("publication");

    /** The current catalog; null before the first. */
    private final AtomicReference<Catalog> mCatalog = new AtomicReference<>();

    /** The local monotonic time at which the publisher last confirmed the catalog. */
    private final AtomicLong mConfirmedNanos;

    /**
     * Whether the publisher has published no catalog as new as the current one since it came back
     * from an older copy.
     */
    private volatile boolean mBehind;

    /** The local monotonic time up to which lost catalogs may be published again. */
    private volatile long mSettledNanos;

    /**
     * The time since the last confirmation, in nanoseconds, from which a newer catalog may exist.
     */
    private final long mFreshNanos;

    /** The clock. */
    private final MonotonicClock mClock;

    /**
     * Creates a holder without a catalog.
     *
     * @param freshFor the time after a confirmation from which a newer catalog may exist
     * @param clock the clock
     */
    public CurrentCatalog(Duration freshFor, MonotonicClock clock) {
        mFreshNanos = freshFor.toNanos();
        mClock = clock;
        mConfirmedNanos = new AtomicLong(clock.nanos() - mFreshNanos);
        mSettledNanos = clock.nanos();
    }

    /**
     * Replaces the current catalog if the offered one is newer.
     *
     * @param offered the catalog
     */
    public void offer(Catalog offered) {
        Catalog before =
                mCatalog.getAndUpdate(
                        now -> now == null || offered.version() > now.version() ? offered : now);
        if (before == null || offered.version() >= before.version()) {
            mBehind = false;
        }
        if (before == null || offered.version() > before.version()) {
            LOG.info(
                    "publication: catalog in force, version={} routes={}",
                    offered.version(),
                    offered.routeCount());
        }
    }

    /**
     * Records that the publisher came back from an older copy, whose catalog follows. The current
     * catalog stays in force, but newer ones may have been lost.
     *
     * @param limit the time in which everything that was lost is published again
     */
    public void publisherRestored(Duration limit) {
        mSettledNanos = mClock.nanos() + limit.toNanos();
        mBehind = true;
    }

    /** Records that the publisher has just confirmed the catalog. */
    public void confirmed() {
        mConfirmedNanos.set(mClock.nanos());
    }

    /**
     * Returns the current catalog.
     *
     * @return the catalog; empty before the first
     */
    public Optional<Catalog> catalog() {
        return Optional.ofNullable(mCatalog.get());
    }

    /**
     * Tells whether the catalog is fresh, so that a route or key that it lacks does not exist.
     *
     * @return false if the missing route or key may have been published since the last
     *     confirmation, or may be missing because the publisher came back from an older copy
     */
    public boolean fresh() {
        long now = mClock.nanos();
        return !mBehind && now - mSettledNanos >= 0 && now - mConfirmedNanos.get() < mFreshNanos;
    }
}
