package org.magnoliaseam.gateway;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.magnoliaseam.catalog.Service;
import org.magnoliaseam.gossip.PeerEndpoint;
import org.magnoliaseam.model.FailureDomain;
import org.magnoliaseam.model.ServiceName;
import org.magnoliaseam.spillover.DemandMeter;
import org.magnoliaseam.spillover.DemandTable;
import org.magnoliaseam.spillover.DomainCapacity;
import org.magnoliaseam.spillover.DomainDemand;
import org.magnoliaseam.spillover.SpillShare;

/** Holds the demand and the share of one service. Guarded by the lock of its owner. */
final class ServiceSpillover {

    /** The smallest change of the share that is logged. */
    private static final double LOGGED_STEP = 0.1;

    /** The number of percent in a whole. */
    private static final double PERCENT = 100;

    /** Logs changes of the share. */
    private static final Logger LOG = LogManager.getLogger("board");

    /** The service. */
    private final ServiceName mName;

    /** The failure domain of this entry VM. */
    private final FailureDomain mOwnDomain;

    /** Tells whether the entry VMs contend for a backend server. */
    private final Predicate<BackendServerState> mContended;

    /** The demand at this entry VM. */
    private final DemandMeter mMeter;

    /** The share of requests that leave. */
    private SpillShare mShare;

    /** The published description; null before the first request. */
    private Service mService;

    /** Whether the own failure domain has had a backend server in service. */
    private boolean mHadHome;

    /** Whether the entry VMs have contended for a backend server of the service. */
    private boolean mWasContended;

    /** Whether requests prefer the own failure domain. */
    private boolean mActive;

    /** The share in the last log line. */
    private double mLoggedShare;

    /** The mean number of slots of a backend server. */
    private double mSlots;

    /**
     * Creates the state of a service without demand.
     *
     * @param name the service
     * @param ownDomain the failure domain of this entry VM
     * @param contended tells whether the entry VMs contend for a backend server
     * @param nowNanos the local monotonic time
     */
    ServiceSpillover(
            ServiceName name,
            FailureDomain ownDomain,
            Predicate<BackendServerState> contended,
            long nowNanos) {
        mName = name;
        mContended = contended;
        mOwnDomain = ownDomain;
        mMeter = new DemandMeter(nowNanos);
        mShare = new SpillShare(ownDomain);
    }

    /**
     * Tells whether requests prefer the own failure domain.
     *
     * @return false if failure domains decide only between equal backend servers
     */
    boolean isActive() {
        return mActive;
    }

    /**
     * Returns the share of requests that leave.
     *
     * @return the share
     */
    SpillShare share() {
        return mShare;
    }

    /**
     * Returns the demand at this entry VM.
     *
     * @return the meter
     */
    DemandMeter meter() {
        return mMeter;
    }

    /**
     * Counts a request that arrived.
     *
     * @param service its service
     * @param nowNanos the local monotonic time
     */
    void arrived(Service service, long nowNanos) {
        mService = service;
        mMeter.arrived(nowNanos);
    }

    /**
     * Returns the demand to report.
     *
     * @param nowNanos the local monotonic time
     * @return the demand at this entry VM
     */
    DomainDemand demand(long nowNanos) {
        return new DomainDemand(
                mName, mOwnDomain, mMeter.demand(mSlots, nowNanos), mMeter.sent(mSlots, nowNanos));
    }

    /**
     * Updates the share.
     *
     * @param present the backend servers of the service that are in service
     * @param peerLoads the load of the other entry VMs at the backend servers
     * @param table the demand at the other entry VMs
     * @param nowNanos the local monotonic time
     * @return true if the share has changed
     */
    boolean update(
            List<BackendServerState> present,
            PeerLoads peerLoads,
            DemandTable<PeerEndpoint> table,
            long nowNanos) {
        mSlots = present.stream().mapToInt(state -> state.entry().slots()).average().orElse(0);
        mMeter.sampled(usedSlots(present, peerLoads, nowNanos), nowNanos);
        Map<FailureDomain, Integer> usable = usable(present, nowNanos);
        boolean hasHome = usable.containsKey(mOwnDomain);
        mHadHome |= hasHome;
        mWasContended = mWasContended || present.stream().anyMatch(mContended);
        boolean active = mWasContended && mHadHome && (usable.size() > 1 || !hasHome);
        if (active != mActive) {
            LOG.info("board: spillover, service={} active={}", mName, active);
            mActive = active;
            mShare = new SpillShare(mOwnDomain);
            mLoggedShare = 0;
        }
        if (!active) {
            return false;
        }
        List<DomainCapacity> capacities = new ArrayList<>();
        usable.forEach((domain, servers) -> capacities.add(new DomainCapacity(domain, servers)));
        boolean changed = mShare.update(table.loads(demand(nowNanos), capacities), nowNanos);
        if (changed) {
            log();
        }
        return changed;
    }

    /**
     * Counts the backend servers of each failure domain that may get work: those that are neither
     * cold nor ejected. A domain keeps one while it has a warm one, since ejections are short and
     * differ between entry VMs; a domain with one backend server would lose its requests each time.
     *
     * @param present the backend servers of the service that are in service
     * @param nowNanos the local monotonic time
     * @return the number of backend servers
     */
    private Map<FailureDomain, Integer> usable(List<BackendServerState> present, long nowNanos) {
        Map<FailureDomain, Integer> warm = new LinkedHashMap<>();
        Map<FailureDomain, Integer> usable = new LinkedHashMap<>();
        for (BackendServerState state : present) {
            boolean cold = mService != null && state.coldStart().isActive(mService, nowNanos);
            boolean ejected = state.failures().ejected(state.active(), nowNanos);
            FailureDomain domain = state.entry().failureDomain();
            warm.merge(domain, cold ? 0 : 1, Integer::sum);
            usable.merge(domain, cold || ejected ? 0 : 1, Integer::sum);
        }
        warm.forEach((domain, count) -> usable.merge(domain, Math.min(1, count), Math::max));
        return usable;
    }

    /**
     * Returns the slots that the attempts of this entry VM use. Where requests wait at a backend
     * server, the ones in slots are a part of those in progress, and their wait is no work.
     *
     * @param present the backend servers of the service that are in service
     * @param peerLoads the load of the other entry VMs at the backend servers
     * @param nowNanos the local monotonic time
     * @return the number of slots
     */
    private static double usedSlots(
            List<BackendServerState> present, PeerLoads peerLoads, long nowNanos) {
        double used = 0;
        for (BackendServerState state : present) {
            if (state.running() > 0) {
                double slots = state.entry().slots();
                double occupied = state.occupied(peerLoads, nowNanos);
                used += state.running() * (slots > 0 ? Math.min(1, slots / occupied) : 1);
            }
        }
        return used;
    }

    /** Logs the start, the end and larger changes of the share. */
    private void log() {
        double share = mShare.plan().share();
        boolean turned = (share > 0) != (mLoggedShare > 0);
        if (turned || Math.abs(share - mLoggedShare) >= LOGGED_STEP) {
            LOG.info(
                    "board: share of requests that leave the failure domain, service={} before={}%"
                            + " now={}% load={}% targets={}",
                    mName,
                    Math.round(mLoggedShare * PERCENT),
                    Math.round(share * PERCENT),
                    Math.round(mShare.utilisation() * PERCENT),
                    mShare.plan().targets());
            mLoggedShare = share;
        }
    }
}
