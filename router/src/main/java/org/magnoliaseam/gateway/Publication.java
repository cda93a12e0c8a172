package org.magnoliaseam.gateway;

import java.util.Optional;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.AtomicReference;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.magnoliaseam.catalog.Catalog;
import org.magnoliaseam.time.MonotonicClock;

/** Holds the catalog in force and how fresh it is; read without a lock on the path of a request. */
public final class Publication {

    /** The age after which a missing route may have been published meanwhile, in nanoseconds. */
    private static final long FRESH_NANOS = 4_000_000_000L;

    /** Writes changes of what the process believes. */
    private static final Logger LOG = LogManager.getLogger("publication");

    /** The catalog in force; null before the first. */
    private final AtomicReference<Catalog> mCatalog = new AtomicReference<>();

    /** The local monotonic time at which the publisher last confirmed the catalog. */
    private final AtomicLong mConfirmedNanos;

    /** The clock. */
    private final MonotonicClock mClock;

    /**
     * Creates a publication without a catalog.
     *
     * @param clock the clock
     */
    public Publication(MonotonicClock clock) {
        mClock = clock;
        mConfirmedNanos = new AtomicLong(clock.nanos() - FRESH_NANOS);
    }

    /**
     * Takes a catalog if it is newer than the one in force; an older one never replaces it.
     *
     * @param offered the catalog
     */
    public void offer(Catalog offered) {
        Catalog before =
                mCatalog.getAndUpdate(
                        now -> now == null || offered.version() > now.version() ? offered : now);
        if (before == null || offered.version() > before.version()) {
            LOG.info(
                    "publication: catalog in force, version={} routes={}",
                    offered.version(),
                    offered.routeCount());
        }
    }

    /** Notes that the publisher has confirmed the catalog right now. */
    public void confirmed() {
        mConfirmedNanos.set(mClock.nanos());
    }

    /**
     * Returns the catalog in force.
     *
     * @return the catalog; empty before the first
     */
    public Optional<Catalog> catalog() {
        return Optional.ofNullable(mCatalog.get());
    }

    /**
     * Tells whether a route or key that the catalog lacks does not exist.
     *
     * @return false if it may have been published since the last confirmation
     */
    public boolean fresh() {
        return mClock.nanos() - mConfirmedNanos.get() < FRESH_NANOS;
    }
}
