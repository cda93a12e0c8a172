package org.magnoliaseam.gateway;

import java.time.Duration;
import java.util.Collection;
import java.util.Set;
import org.magnoliaseam.catalog.ServerEntry;
import org.magnoliaseam.model.BackendServerId;
import org.magnoliaseam.model.FailureDomain;
import org.magnoliaseam.time.MonotonicClock;

/**
 * Receives changes of the published backend servers. Thread-safe; guarded by the lock of the server
 * pool.
 */
public final class PublishedServers {

    /** The server pool, whose lock guards the backend servers. */
    private final ServerPool mPool;

    /** The backend servers. */
    private final ServerRegistry mServers;

    /** The clock. */
    private final MonotonicClock mClock;

    /**
     * Creates a receiver.
     *
     * @param pool the server pool
     * @param servers its backend servers
     * @param clock the clock
     */
    PublishedServers(ServerPool pool, ServerRegistry servers, MonotonicClock clock) {
        mPool = pool;
        mServers = servers;
        mClock = clock;
    }

    /**
     * Adds or updates a published backend server.
     *
     * @param entry the entry
     */
    public void add(ServerEntry entry) {
        synchronized (mPool) {
            mServers.published(entry, mClock.nanos());
        }
    }

    /**
     * Adds or updates a backend server of a full list.
     *
     * @param entry the entry
     */
    public void listed(ServerEntry entry) {
        synchronized (mPool) {
            mServers.listed(entry, mClock.nanos());
        }
    }

    /**
     * Records that the publisher came back from an older copy, whose full list follows.
     *
     * @param limit the time in which everything that was lost is published again
     */
    public void publisherRestored(Duration limit) {
        synchronized (mPool) {
            mServers.publisherRestored(limit, mClock.nanos());
        }
    }

    /**
     * Records that the publisher is reachable again after an outage. Entries that expired during
     * the outage are published again shortly if their backend servers are alive.
     */
    public void publisherReturned() {
        synchronized (mPool) {
            mServers.publisherReturned(mClock.nanos());
        }
    }

    /**
     * Removes a backend server that is no longer published. Shortly after an outage of the
     * publisher the removal is delayed, since the server may be published again.
     *
     * @param id the backend server
     */
    public void withdraw(BackendServerId id) {
        synchronized (mPool) {
            mServers.withdrawn(id, mClock.nanos());
        }
    }

    /**
     * Removes all backend servers that a full list lacks.
     *
     * @param listed the backend servers in the list
     */
    public void retain(Set<BackendServerId> listed) {
        synchronized (mPool) {
            mServers.retain(listed, mClock.nanos());
        }
    }

    /**
     * Sets the failure domains that are published as out of service.
     *
     * @param out the failure domains that get no new work
     */
    public void takeOut(Collection<FailureDomain> out) {
        synchronized (mPool) {
            mServers.outOfService(out);
        }
    }

    /**
     * Returns the number of entry VMs that share limits.
     *
     * @return the number, including this one
     */
    public int entryVms() {
        return mPool.membership().vms();
    }
}
