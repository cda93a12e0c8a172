package org.magnoliaseam.gateway;

import java.util.concurrent.atomic.AtomicLong;
import java.util.function.LongConsumer;

/**
 * Holds the revision of the newest change of the publisher that this entry VM has applied, and
 * reports newer ones that other entry VMs have. Thread-safe.
 */
public final class PublishedRevision {

    /** The revision of the newest applied change; 0 before the first. */
    private final AtomicLong mNewest = new AtomicLong();

    /** Receives revisions that other entry VMs have and this one lacks. */
    private volatile LongConsumer mObserver = revision -> {};

    /**
     * Records that a change has been applied.
     *
     * @param revision its revision
     */
    public void applied(long revision) {
        mNewest.accumulateAndGet(revision, Math::max);
    }

    /**
     * Returns the revision of the newest applied change.
     *
     * @return the revision; 0 before the first
     */
    public long newest() {
        return mNewest.get();
    }

    /**
     * Receives the revision of the newest change that another entry VM has applied.
     *
     * @param revision the revision
     */
    public void heard(long revision) {
        if (revision > mNewest.get()) {
            mObserver.accept(revision);
        }
    }

    /**
     * Sets the receiver of revisions that this entry VM lacks.
     *
     * @param observer the receiver; called on the thread that receives digests
     */
    public void observe(LongConsumer observer) {
        mObserver = observer;
    }
}
