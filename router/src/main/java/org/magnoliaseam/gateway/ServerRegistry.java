package org.magnoliaseam.gateway;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.magnoliaseam.catalog.ServerEntry;
import org.magnoliaseam.model.BackendServerId;
import org.magnoliaseam.model.FailureDomain;
import org.magnoliaseam.model.ServiceName;
import org.magnoliaseam.placement.PromptTimeModel;

/**
 * Holds the published backend servers and the failure domains that are out of service. Guarded by
 * the lock of the server pool.
 */
final class ServerRegistry {

    /**
     * The time after an outage of the publisher in which expired entries may be published again, in
     * nanoseconds.
     */
    private static final long REAPPEAR_NANOS = 2_200_000_000L;

    /** Logs changes of the published backend servers. */
    private static final Logger LOG = LogManager.getLogger("board");

    /** The backend servers that are published. */
    private final Map<BackendServerId, BackendServerState> mServers = new TreeMap<>();

    /** The backend servers that may get new work, by service; filled when first needed. */
    private final Map<ServiceName, List<BackendServerState>> mInService = new HashMap<>();

    /** Predicts the time that a prompt takes, by service. */
    private final Map<ServiceName, PromptTimeModel> mPromptTimes = new HashMap<>();

    /** The failure domains that are out of service. */
    private final Set<FailureDomain> mOutOfService = new HashSet<>();

    /** The backend servers whose entries expired during an outage of the publisher. */
    private final Set<BackendServerId> mExpired = new HashSet<>();

    /** The local monotonic time up to which expired entries may be published again. */
    private long mReappearUntilNanos;

    /**
     * Creates a registry without backend servers.
     *
     * @param nowNanos the local monotonic time
     */
    ServerRegistry(long nowNanos) {
        mReappearUntilNanos = nowNanos;
    }

    /**
     * Adds or updates a published backend server.
     *
     * @param entry the entry
     * @param nowNanos the local monotonic time
     */
    void published(ServerEntry entry, long nowNanos) {
        mExpired.remove(entry.id());
        mInService.clear();
        BackendServerState known = mServers.get(entry.id());
        if (known == null) {
            PromptTimeModel promptTime =
                    mPromptTimes.computeIfAbsent(entry.service(), name -> new PromptTimeModel());
            mServers.put(entry.id(), new BackendServerState(entry, promptTime, nowNanos));
        } else {
            known.update(entry, nowNanos);
        }
        LOG.info(
                "board: published, id={} service={} domain={} draining={} cold_ms={}",
                entry.id(),
                entry.service(),
                entry.failureDomain(),
                entry.draining(),
                entry.coldMillis());
    }

    /**
     * Records that the publisher is reachable again after an outage. Entries that expired during
     * the outage are published again shortly if their backend servers are alive.
     *
     * @param nowNanos the local monotonic time
     */
    void publisherReturned(long nowNanos) {
        mReappearUntilNanos = nowNanos + REAPPEAR_NANOS;
    }

    /**
     * Removes a backend server that is no longer published. Shortly after an outage of the
     * publisher the removal is delayed, since the server may be published again.
     *
     * @param id the backend server
     * @param nowNanos the local monotonic time
     */
    void withdrawn(BackendServerId id, long nowNanos) {
        BackendServerState state = mServers.get(id);
        boolean mayReappear = nowNanos - mReappearUntilNanos < 0;
        if (state != null && mayReappear && !state.entry().draining()) {
            mExpired.add(id);
        } else if (mServers.remove(id) != null) {
            mInService.clear();
            LOG.info("board: backend server removed, id={}", id);
        }
    }

    /**
     * Removes the backend servers that were not published again in time after an outage of the
     * publisher.
     *
     * @param nowNanos the local monotonic time
     */
    void removeExpired(long nowNanos) {
        if (!mExpired.isEmpty() && nowNanos - mReappearUntilNanos >= 0) {
            List<BackendServerId> expired = List.copyOf(mExpired);
            mExpired.clear();
            expired.forEach(id -> withdrawn(id, nowNanos));
        }
    }

    /**
     * Removes all backend servers that a full list lacks.
     *
     * @param listed the backend servers in the list
     * @param nowNanos the local monotonic time
     */
    void retain(Set<BackendServerId> listed, long nowNanos) {
        List<BackendServerId> missing = new ArrayList<>(mServers.keySet());
        missing.removeAll(listed);
        missing.forEach(id -> withdrawn(id, nowNanos));
    }

    /**
     * Sets the failure domains that are out of service.
     *
     * @param out the failure domains that get no new work
     */
    void outOfService(Collection<FailureDomain> out) {
        if (!mOutOfService.equals(Set.copyOf(out))) {
            mOutOfService.clear();
            mOutOfService.addAll(out);
            mInService.clear();
            LOG.info("board: failure domains out of service, domains={}", mOutOfService);
        }
    }

    /**
     * Returns all published backend servers.
     *
     * @return the backend servers in the order of their ids
     */
    Collection<BackendServerState> all() {
        return mServers.values();
    }

    /**
     * Returns a published backend server.
     *
     * @param id its id
     * @return its state; null if it is not published
     */
    BackendServerState find(BackendServerId id) {
        return mServers.get(id);
    }

    /**
     * Returns the backend servers of a service that may get new work.
     *
     * @param service the service
     * @return the backend servers in the order of their ids; the same list until one changes
     */
    List<BackendServerState> inService(ServiceName service) {
        return mInService.computeIfAbsent(
                service,
                name ->
                        mServers.values().stream()
                                .filter(state -> isInService(state, name))
                                .toList());
    }

    /**
     * Tells whether a backend server may get new work.
     *
     * @param state the backend server
     * @param service the service of the work
     * @return true if it belongs to the service, is in service and not draining
     */
    boolean isInService(BackendServerState state, ServiceName service) {
        ServerEntry entry = state.entry();
        return entry.service().equals(service)
                && !entry.draining()
                && !mOutOfService.contains(entry.failureDomain());
    }
}
