package org.magnoliaseam.gateway;

import java.time.Duration;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;
import java.util.function.Supplier;
import org.magnoliaseam.gossip.GossipNode;
import org.magnoliaseam.gossip.PeerEndpoint;
import org.magnoliaseam.membership.StableHash;
import org.magnoliaseam.model.FailureDomain;
import org.magnoliaseam.model.ServiceName;
import org.magnoliaseam.spillover.DemandTable;
import org.magnoliaseam.spillover.DomainDemand;
import org.magnoliaseam.spillover.SpillReason;
import org.magnoliaseam.time.MonotonicClock;

/**
 * Restricts the backend servers of a request to its failure domain or to another one. Thread-safe;
 * the methods that get backend servers are called with the lock of the server pool.
 */
public final class DomainSpillover {

    /** The bytes of a body that cross in a millisecond; a cautious value of about 16 Mbit/s. */
    private static final double BODY_BYTES_PER_MILLI = 2000;

    /**
     * The rate of failures above which a backend server keeps no request in its failure domain. A
     * single failure stays below it.
     */
    private static final double SOUND_FAILURE_RATE = 0.2;

    /** The part of the requests that still count such a server, so that its recovery is seen. */
    private static final double PROBE_SHARE = 0.1;

    /** Selects the draws of these requests. */
    private static final int PROBE_SEED = 6;

    /** The number of nanoseconds in a millisecond. */
    private static final double NANOS_PER_MILLI = 1e6;

    /** The failure domain of this entry VM. */
    private final FailureDomain mOwnDomain;

    /** Knows the engines that are reserved for other requests. */
    private final ServerSelector mSelector;

    /** The load of the other entry VMs at the backend servers. */
    private final PeerLoads mPeerLoads;

    /** Tells whether the entry VMs contend for a backend server. */
    private final Predicate<BackendServerState> mContended;

    /** The clock. */
    private final MonotonicClock mClock;

    /** The demand at the other entry VMs. */
    private final DemandTable<PeerEndpoint> mTable = new DemandTable<>();

    /** The state of each service. */
    private final Map<ServiceName, ServiceSpillover> mServices = new HashMap<>();

    /** The counts of requests. */
    private final SpilloverCounts mCounts = new SpilloverCounts();

    /** The time that a request has to save by leaving its failure domain; 0 to turn this off. */
    private Supplier<Duration> mCrossingCost = () -> Duration.ZERO;

    /**
     * Creates a restriction that is turned off.
     *
     * @param ownDomain the failure domain of this entry VM
     * @param selector knows the engines that are reserved for other requests
     * @param peerLoads the load of the other entry VMs at the backend servers
     * @param shares tells whether the entry VMs contend for a backend server
     * @param clock the clock
     */
    DomainSpillover(
            FailureDomain ownDomain,
            ServerSelector selector,
            PeerLoads peerLoads,
            VmShares shares,
            MonotonicClock clock) {
        this(ownDomain, selector, peerLoads, shares::contended, clock);
    }

    /**
     * Creates a restriction that is turned off.
     *
     * @param ownDomain the failure domain of this entry VM
     * @param selector knows the engines that are reserved for other requests
     * @param peerLoads the load of the other entry VMs at the backend servers
     * @param contended tells whether the entry VMs contend for a backend server
     * @param clock the clock
     */
    DomainSpillover(
            FailureDomain ownDomain,
            ServerSelector selector,
            PeerLoads peerLoads,
            Predicate<BackendServerState> contended,
            MonotonicClock clock) {
        mOwnDomain = ownDomain;
        mSelector = selector;
        mPeerLoads = peerLoads;
        mContended = contended;
        mClock = clock;
    }

    /**
     * Holds the backend servers that a request may use.
     *
     * @param candidates the backend servers
     * @param reason why these; empty if failure domains do not restrict the request
     */
    record Restriction(List<BackendServerState> candidates, Optional<SpillReason> reason) {

        /**
         * Allows a request that a backend server has failed to use every failure domain: if many
         * servers of its own end at once, the others there are likely to fail it as well.
         *
         * @param candidates the backend servers that have not failed it
         * @return the restriction
         */
        static Restriction repeated(List<BackendServerState> candidates) {
            return new Restriction(candidates, Optional.empty());
        }

        /**
         * Returns the reason for the log.
         *
         * @return a short text; empty if the request stays
         */
        String text() {
            return reason.filter(found -> found != SpillReason.HOME)
                    .map(found -> " left_domain=" + found.text())
                    .orElse("");
        }
    }

    /**
     * Sets the time that a request has to save by leaving its failure domain.
     *
     * @param crossingCost supplies the time in force; 0 to turn this off
     */
    public synchronized void crossingCost(Supplier<Duration> crossingCost) {
        mCrossingCost = crossingCost;
    }

    /**
     * Returns the counts of requests.
     *
     * @return the counts
     */
    public SpilloverCounts counts() {
        return mCounts;
    }

    /**
     * Returns the demand to report to the other entry VMs.
     *
     * @return the demand for each service whose requests prefer their failure domain
     */
    synchronized List<DomainDemand> demands() {
        long now = mClock.nanos();
        return mServices.values().stream()
                .filter(ServiceSpillover::isActive)
                .map(service -> service.demand(now))
                .toList();
    }

    /**
     * Records the demand at another entry VM.
     *
     * @param peer the entry VM
     * @param demands its demand
     * @param nowNanos the local monotonic time
     */
    synchronized void heard(PeerEndpoint peer, List<DomainDemand> demands, long nowNanos) {
        mTable.heard(peer, demands, nowNanos);
    }

    /**
     * Updates the shares of all services; called periodically.
     *
     * @param servers the backend servers
     * @param vms the number of entry VMs
     * @param nowNanos the local monotonic time
     */
    synchronized void update(ServerRegistry servers, int vms, long nowNanos) {
        mTable.expire(GossipNode.roundNanos(vms - 1), nowNanos);
        if (isOff()) {
            mServices.keySet().forEach(name -> mSelector.balanceDomains(name, false));
            mServices.clear();
            return;
        }
        Set<ServiceName> names = new LinkedHashSet<>(mServices.keySet());
        servers.all().forEach(state -> names.add(state.entry().service()));
        for (ServiceName name : names) {
            ServiceSpillover service = service(name, nowNanos);
            boolean changed = service.update(servers.inService(name), mPeerLoads, mTable, nowNanos);
            mSelector.balanceDomains(name, service.isActive());
            if (service.isActive()) {
                mCounts.updated(service.share().plan().share(), changed);
            }
        }
    }

    /**
     * Counts a request that arrived.
     *
     * @param request the request
     * @param nowNanos the local monotonic time
     */
    synchronized void arrived(GatewayRequest request, long nowNanos) {
        if (!isOff()) {
            service(request.service().name(), nowNanos).arrived(request.service(), nowNanos);
        }
    }

    /**
     * Counts an attempt that is sent.
     *
     * @param request the request
     * @param start its backend server
     * @param nowNanos the local monotonic time
     */
    synchronized void sent(GatewayRequest request, ServerChoice.Start start, long nowNanos) {
        if (isOff()) {
            return;
        }
        boolean home = isHome(start.server());
        ServiceSpillover service = service(request.service().name(), nowNanos);
        double millis = start.server().times().processingMillis(start.uncachedTokens(), nowNanos);
        service.meter().started(millis, nowNanos);
        if (!home) {
            service.meter().crossed(start.entry().failureDomain(), nowNanos);
        }
        start.domain()
                .map(reason -> reason == SpillReason.HOME && !home ? SpillReason.NO_ROOM : reason)
                .ifPresent(mCounts::sent);
    }

    /**
     * Restricts a request to the backend servers of one failure domain, as long as one of them has
     * room.
     *
     * @param request the request
     * @param present the backend servers of the service that are in service
     * @param candidates those that may run the request now, at least one
     * @param nowNanos the local monotonic time
     * @return the backend servers that the request may use, at least one
     */
    synchronized Restriction restrict(
            GatewayRequest request,
            List<BackendServerState> present,
            List<BackendServerState> candidates,
            long nowNanos) {
        ServiceSpillover service = mServices.get(request.service().name());
        if (service == null || !service.isActive() || isOff()) {
            return new Restriction(candidates, Optional.empty());
        }
        DomainCandidates choice =
                new DomainCandidates(
                        request,
                        candidates,
                        mSelector.reserved(request, present, nowNanos),
                        state -> meetsTarget(request, service, state, nowNanos),
                        nowNanos);
        Optional<FailureDomain> target = service.share().plan().target(request.id());
        if (target.isPresent()) {
            List<BackendServerState> there =
                    choice.withRoom(state -> state.entry().failureDomain().equals(target.get()));
            if (!there.isEmpty()) {
                boolean noHome = present.stream().noneMatch(this::isHome);
                return restricted(there, noHome ? SpillReason.NO_HOME : SpillReason.SHARE);
            }
        }
        List<BackendServerState> home = choice.withRoom(this::isHome);
        if (home.isEmpty()) {
            List<BackendServerState> others = choice.withRoom(state -> !isHome(state));
            return others.isEmpty()
                    ? restricted(candidates, SpillReason.HOME)
                    : restricted(others, SpillReason.NO_ROOM);
        }
        return service.share().nearLimit()
                ? cached(choice, home).orElseGet(() -> atHome(choice))
                : atHome(choice);
    }

    /**
     * Finds an engine in another failure domain that caches so much of the prompt that crossing
     * costs less than processing the prompt again.
     *
     * @param choice the candidates of the request
     * @param home those of the own failure domain that have room
     * @return the restriction to the engine; empty if the request should stay
     */
    private Optional<Restriction> cached(DomainCandidates choice, List<BackendServerState> home) {
        GatewayRequest request = choice.request();
        if (request.service().engine().isEmpty()) {
            return Optional.empty();
        }
        BackendServerState nearest = choice.fastest(home);
        BackendServerState far = choice.fastest(choice.withRoom(state -> !isHome(state)));
        double crossing =
                mCrossingCost.get().toNanos() / NANOS_PER_MILLI
                        + request.body().length / BODY_BYTES_PER_MILLI;
        if (far == null || choice.processing(nearest) - choice.processing(far) <= crossing) {
            return Optional.empty();
        }
        return Optional.of(restricted(List.of(far), SpillReason.CACHED));
    }

    /**
     * Keeps a request at home.
     *
     * @param choice the candidates of the request
     * @return the candidates of the own failure domain
     */
    private Restriction atHome(DomainCandidates choice) {
        return restricted(choice.all().stream().filter(this::isHome).toList(), SpillReason.HOME);
    }

    /**
     * Tells whether a backend server has room for a request and is predicted to meet its target
     * without a failure.
     *
     * @param request the request
     * @param service the state of its service
     * @param state the backend server
     * @param nowNanos the local monotonic time
     * @return true if it may get the request
     */
    private boolean meetsTarget(
            GatewayRequest request,
            ServiceSpillover service,
            BackendServerState state,
            long nowNanos) {
        if (state.failures().rate() > SOUND_FAILURE_RATE
                && StableHash.draw(request.id().value(), PROBE_SEED) >= PROBE_SHARE) {
            return false;
        }
        int slots = state.entry().slots();
        if (request.service().engine().isPresent() || slots == 0) {
            return ServerRoom.hasRoom(request, state, nowNanos);
        }
        double turns = Math.max(1, (state.occupied(mPeerLoads, nowNanos) + 1.0) / slots);
        return turns * service.meter().slotMillis(nowNanos) <= request.route().targetMillis();
    }

    /**
     * Creates a restriction.
     *
     * @param candidates the backend servers
     * @param reason why these
     * @return the restriction
     */
    private static Restriction restricted(List<BackendServerState> candidates, SpillReason reason) {
        return new Restriction(candidates, Optional.of(reason));
    }

    /**
     * Tells whether a backend server is in the failure domain of this entry VM.
     *
     * @param state the backend server
     * @return true if both are in the same failure domain
     */
    private boolean isHome(BackendServerState state) {
        return state.entry().failureDomain().equals(mOwnDomain);
    }

    /**
     * Tells whether failure domains decide only between equal backend servers.
     *
     * @return true if no cost of crossing is set
     */
    private boolean isOff() {
        return mCrossingCost.get().isZero();
    }

    /**
     * Returns the state of a service.
     *
     * @param name the service
     * @param nowNanos the local monotonic time
     * @return the state
     */
    private ServiceSpillover service(ServiceName name, long nowNanos) {
        return mServices.computeIfAbsent(
                name, key -> new ServiceSpillover(key, mOwnDomain, mContended, nowNanos));
    }
}
