package org.magnoliaseam.gateway;

import java.time.Duration;
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
import org.magnoliaseam.gossip.PartRead;
import org.magnoliaseam.gossip.ServerLoad;
import org.magnoliaseam.leaving.LeavingServers;
import org.magnoliaseam.leaving.LeavingSource;
import org.magnoliaseam.leaving.RestoredPublication;
import org.magnoliaseam.leaving.ServerIncarnation;
import org.magnoliaseam.membership.StableHash;
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

    /** The largest number of leaving backend servers in a digest. */
    private static final int MAX_LEAVING_REPORTED = 64;

    /** Selects the draws that spread the ends of times without requests. */
    private static final int SPREAD_SEED = 3;

    /** Logs changes of the published backend servers. */
    private static final Logger LOG = LogManager.getLogger("board");

    /** The backend servers that are published. */
    private final Map<BackendServerId, BackendServerState> mServers = new TreeMap<>();

    /** The backend servers that may get new work, by service; filled when first needed. */
    private final Map<ServiceName, List<BackendServerState>> mInService = new HashMap<>();

    /** The usual times, by service. */
    private final Map<ServiceName, ServiceTimes> mTimes = new HashMap<>();

    /** The failure domains that are out of service. */
    private final Set<FailureDomain> mOutOfService = new HashSet<>();

    /** Decides what counts after the publisher came back from an older copy. */
    private final RestoredPublication mRestored = new RestoredPublication();

    /** The starts of backend servers that are leaving. */
    private final LeavingServers mLeaving = new LeavingServers();

    /** The starts that are reported to the other entry VMs. */
    private final RepeatedItems<ServerIncarnation> mRecentlyLeaving =
            new RepeatedItems<>(MAX_LEAVING_REPORTED);

    /** Logs and counts what backend servers state. */
    private final ServerNotices mNotices;

    /** The backend servers whose entries expired during an outage of the publisher. */
    private final Set<BackendServerId> mExpired = new HashSet<>();

    /** The local monotonic time up to which expired entries may be published again. */
    private long mReappearUntilNanos;

    /**
     * Creates a registry without backend servers.
     *
     * @param notices logs and counts what backend servers state
     * @param nowNanos the local monotonic time
     */
    ServerRegistry(ServerNotices notices, long nowNanos) {
        mNotices = notices;
        mReappearUntilNanos = nowNanos;
    }

    /**
     * Adds or updates a backend server of a full list.
     *
     * @param entry the entry
     * @param nowNanos the local monotonic time
     */
    void listed(ServerEntry entry, long nowNanos) {
        if (mRestored.defers(entry)) {
            LOG.info("board: entry of an older copy deferred, id={}", entry.id());
        } else {
            published(entry, nowNanos);
        }
    }

    /**
     * Adds or updates a published backend server. An entry of an earlier start is ignored.
     *
     * @param entry the entry
     * @param nowNanos the local monotonic time
     */
    void published(ServerEntry entry, long nowNanos) {
        BackendServerState known = mServers.get(entry.id());
        ServerIncarnation server = incarnation(entry);
        if (known != null && incarnation(known.entry()).isLaterThan(server)) {
            LOG.warn("board: entry of an earlier start ignored, id={}", entry.id());
            return;
        }
        mExpired.remove(entry.id());
        mRestored.published(entry.id());
        mInService.clear();
        mLeaving.endedBy(server)
                .ifPresent(earlier -> mNotices.leavingEnded(earlier, server, nowNanos));
        if (entry.draining()) {
            leaving(server, LeavingSource.PUBLISHER, nowNanos);
        }
        if (known == null || server.isLaterThan(incarnation(known.entry()))) {
            ServiceTimes times =
                    mTimes.computeIfAbsent(
                            entry.service(), name -> new ServiceTimes(new PromptTimeModel()));
            mServers.put(entry.id(), new BackendServerState(entry, times, nowNanos));
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
     * Records that a start of a backend server is leaving. It gets no new work from now on,
     * whatever its entry says.
     *
     * @param server the start of the backend server
     * @param source the source
     * @param nowNanos the local monotonic time
     */
    void leaving(ServerIncarnation server, LeavingSource source, long nowNanos) {
        if (mLeaving.learn(server, source, nowNanos)) {
            mInService.clear();
            mRecentlyLeaving.add(server);
            mNotices.leavingBegan(server, source);
        }
    }

    /**
     * Records what another entry VM has found.
     *
     * @param leaving the starts of backend servers that are leaving
     * @param reads the prompt parts that it sent to backend servers
     * @param nowNanos the local monotonic time
     */
    void heard(List<ServerIncarnation> leaving, List<PartRead> reads, long nowNanos) {
        for (ServerIncarnation server : leaving) {
            leaving(server, LeavingSource.PEER, nowNanos);
        }
        for (PartRead read : reads) {
            BackendServerState state = mServers.get(read.server());
            if (state != null) {
                state.recordPeerPart(read.part(), read.tokens());
            }
        }
    }

    /**
     * Returns the starts of backend servers that were found to be leaving lately, by whatever
     * source, so that each entry VM passes them on.
     *
     * @param digests the number of digests that include each
     * @return the starts of backend servers
     */
    List<ServerIncarnation> recentlyLeaving(int digests) {
        return mRecentlyLeaving.next(digests);
    }

    /**
     * Records that a backend server wants no requests of this entry VM for a time.
     *
     * @param state the backend server
     * @param millis the time in milliseconds
     * @param nowNanos the local monotonic time
     */
    void pushedBack(BackendServerState state, long millis, long nowNanos) {
        // The local time differs between entry VMs, and with it the draw.
        double draw = StableHash.draw(state.id().value() + nowNanos, SPREAD_SEED);
        if (state.pushback().received(millis, draw, nowNanos)) {
            mNotices.pushbackBegan(state, millis, nowNanos);
        }
        if (state.pushback().takeNearlyPermanent(nowNanos)) {
            mNotices.pushbackNearlyPermanent(state);
        }
    }

    /**
     * Records which times without requests have ended.
     *
     * @param nowNanos the local monotonic time
     */
    void endPushbacks(long nowNanos) {
        for (BackendServerState state : mServers.values()) {
            if (state.pushback().takeEnd(nowNanos)) {
                mNotices.pushbackEnded(state, nowNanos);
            }
        }
    }

    /**
     * Returns the published backend servers that are leaving.
     *
     * @return their entries
     */
    List<ServerEntry> leaving() {
        if (mLeaving.isEmpty()) {
            return List.of();
        }
        return mServers.values().stream()
                .map(BackendServerState::entry)
                .filter(entry -> mLeaving.isLeaving(incarnation(entry)))
                .toList();
    }

    /**
     * Returns the start that an entry describes.
     *
     * @param entry the entry
     * @return the start of the backend server
     */
    private static ServerIncarnation incarnation(ServerEntry entry) {
        return new ServerIncarnation(entry.id(), entry.startMark());
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
     * Records that the publisher came back from an older copy, whose full list follows.
     *
     * @param limit the time in which everything that was lost is published again
     * @param nowNanos the local monotonic time
     */
    void publisherRestored(Duration limit, long nowNanos) {
        publisherReturned(nowNanos);
        mRestored.began(limit, nowNanos);
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
        mRestored.removed(id);
        boolean mayReappear = nowNanos - mReappearUntilNanos < 0;
        if (state != null && mayReappear && !mLeaving.isLeaving(incarnation(state.entry()))) {
            mExpired.add(id);
        } else if (mServers.remove(id) != null) {
            mRestored.withdrawn(incarnation(state.entry()));
            mInService.clear();
            LOG.info("board: backend server removed, id={}", id);
        }
    }

    /**
     * Ends the times in which entries may be published again. Called periodically.
     *
     * @param nowNanos the local monotonic time
     */
    void settle(long nowNanos) {
        if (!mExpired.isEmpty() && nowNanos - mReappearUntilNanos >= 0) {
            List<BackendServerId> expired = List.copyOf(mExpired);
            mExpired.clear();
            expired.forEach(id -> withdrawn(id, nowNanos));
        }
        mRestored.settle(nowNanos).forEach(entry -> published(entry, nowNanos));
        updateOutOfService();
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
        mRestored.retain(listed);
    }

    /**
     * Sets the failure domains that are published as out of service.
     *
     * @param out the failure domains that get no new work
     */
    void outOfService(Collection<FailureDomain> out) {
        mRestored.publishedOutOfService(out);
        updateOutOfService();
    }

    /** Applies a change of the failure domains that are out of service. */
    private void updateOutOfService() {
        Set<FailureDomain> out = mRestored.outOfService();
        if (!mOutOfService.equals(out)) {
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
     * Returns the load that this entry VM puts on backend servers.
     *
     * @return the loads that are not zero
     */
    List<ServerLoad> loads() {
        return mServers.values().stream()
                .filter(state -> state.running() > 0)
                .map(state -> new ServerLoad(state.id(), state.running(), state.pendingTokens()))
                .toList();
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
     * @return true if it belongs to the service, is in service and not leaving
     */
    boolean isInService(BackendServerState state, ServiceName service) {
        ServerEntry entry = state.entry();
        return entry.service().equals(service)
                && !mLeaving.isLeaving(incarnation(entry))
                && !mOutOfService.contains(entry.failureDomain());
    }
}
