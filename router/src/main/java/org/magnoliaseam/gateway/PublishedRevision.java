package org.magnoliaseam.gateway;

import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Consumer;
import org.magnoliaseam.rollout.Revision;

/**
 * Holds the revision of the newest change of the publisher that this entry VM has applied, and
 * reports newer ones that other entry VMs have. Thread-safe.
 */
public final class PublishedRevision {

    /** The revision of the newest applied change. */
    private final AtomicReference<Revision> mNewest = new AtomicReference<>(Revision.NONE);

    /** Receives revisions that other entry VMs have and this one lacks. */
    private volatile Consumer<Revision> mObserver = revision -> {};

    /**
     * Records that a change has been applied.
     *
     * @param revision its revision
     */
    public void applied(Revision revision) {
        mNewest.accumulateAndGet(revision, Revision::latest);
    }

    /**
     * Returns the revision of the newest applied change.
     *
     * @return the revision; {@link Revision#NONE} before the first
     */
    public Revision newest() {
        return mNewest.get();
    }

    /**
     * Receives the revision of the newest change that another entry VM has applied.
     *
     * @param revision the revision
     */
    public void heard(Revision revision) {
        if (revision.isLaterThan(mNewest.get())) {
            mObserver.accept(revision);
        }
    }

    /**
     * Sets the receiver of revisions that this entry VM lacks.
     *
     * @param observer the receiver; called on the thread that receives digests
     */
    public void observe(Consumer<Revision> observer) {
        mObserver = observer;
    }
}
