package org.magnoliaseam.gateway;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.magnoliaseam.gossip.Demand;
import org.magnoliaseam.model.ServiceName;
import org.magnoliaseam.placement.DecayingCounter;

/**
 * Partitions the engines of a service by the longest pause that requests tolerate, since a long
 * prompt delays every stream on its engine. Group sizes follow the demand of each kind of request;
 * all entry VMs order the engines alike and see about the same demand. Shares are proportional to
 * the square root of the demand, which leaves small kinds enough spare capacity to keep their waits
 * short (Kleinrock's capacity assignment). Not thread-safe.
 */
final class EngineGroups {

    /** The time constant of the exponential decay of demand, in nanoseconds. */
    private static final double DECAY_NANOS = 8e9;

    /** The time between two checks of the group sizes, in nanoseconds. */
    private static final long CHECK_NANOS = 2_000_000_000L;

    /**
     * The difference between a share and its group size, in engines, above which the sizes change.
     * Hysteresis keeps small changes of demand from moving engines.
     */
    private static final double HYSTERESIS_ENGINES = 0.75;

    /** The work for an answer token relative to a prompt token. */
    private static final double ANSWER_TOKEN_WORK = 1;

    /** The service. */
    private final ServiceName mService;

    /** The load and demand that the other entry VMs report. */
    private final PeerLoads mPeerLoads;

    /** The demand, by the longest pause in milliseconds that the requests tolerate. */
    private final Map<Long, DecayingCounter> mDemand = new TreeMap<>();

    /** The number of engines in each group, ordered by pause. */
    private int[] mSizes = {};

    /** The number of engines at the last change of the sizes. */
    private int mEngines;

    /** The local monotonic time of the last check. */
    private long mCheckedNanos;

    /** The engines whose positions are set; the pool keeps the list until it changes. */
    private List<BackendServerState> mOrdered = List.of();

    /** The groups for the current sizes, by the longest pause in milliseconds. */
    private final Map<Long, Group> mGroups = new HashMap<>();

    /** Whether each group has its part of the engines of every failure domain. */
    private boolean mBalanced;

    /**
     * Creates the groups of a service.
     *
     * @param service the service
     * @param peerLoads the load and demand that the other entry VMs report
     */
    EngineGroups(ServiceName service, PeerLoads peerLoads) {
        mService = service;
        mPeerLoads = peerLoads;
    }

    /**
     * Returns the recent demand at this entry VM.
     *
     * @param nowNanos the local monotonic time
     * @return the work of each kind of request
     */
    List<Demand> demands(long nowNanos) {
        List<Demand> demands = new ArrayList<>();
        mDemand.forEach(
                (pause, meter) -> demands.add(new Demand(mService, pause, meter.at(nowNanos))));
        return demands;
    }

    /**
     * Sets whether each group has its part of the engines of every failure domain.
     *
     * @param balanced whether requests prefer their failure domain
     */
    void balanceDomains(boolean balanced) {
        if (balanced != mBalanced) {
            mBalanced = balanced;
            mOrdered = List.of();
        }
    }

    /**
     * Counts the work of a request. Shared prompt parts count only if the engine has to process
     * them, so that a kind of request gets more engines while few of its parts are cached.
     *
     * @param request the request
     * @param uncachedTokens the prompt tokens that its engine has to process
     * @param nowNanos the local monotonic time
     */
    void started(GatewayRequest request, long uncachedTokens, long nowNanos) {
        double work = uncachedTokens + ANSWER_TOKEN_WORK * request.prompt().maxOutputTokens();
        mDemand.computeIfAbsent(key(request), pause -> new DecayingCounter(DECAY_NANOS))
                .add(work, nowNanos);
    }

    /**
     * Holds the engines for the requests with the same longest pause.
     *
     * @param begin the position of the first engine reserved for them
     * @param end the position after the last one; engines from here on are reserved for requests
     *     that tolerate longer pauses, and used as overflow
     */
    record Group(int begin, int end) {

        /** The group that reserves no engines. */
        static final Group ALL = new Group(0, Integer.MAX_VALUE);

        /**
         * Tells whether an engine is reserved for the requests.
         *
         * @param state the engine
         * @return true if it is
         */
        boolean isOwn(BackendServerState state) {
            int position = state.position();
            return position >= begin && position < end;
        }

        /**
         * Tells whether an engine is reserved for requests that tolerate only shorter pauses.
         *
         * @param state the engine
         * @return true if the requests would delay streams there
         */
        boolean isReserved(BackendServerState state) {
            return state.position() < begin;
        }

        /**
         * Tells whether an engine is reserved for requests that tolerate longer pauses.
         *
         * @param state the engine
         * @return true if it serves the requests as overflow
         */
        boolean isOverflow(BackendServerState state) {
            return state.position() >= end;
        }
    }

    /**
     * Returns the engines for the requests with the same longest pause.
     *
     * @param request the request
     * @param engines the engines of the service
     * @param nowNanos the local monotonic time
     * @return the group
     */
    Group group(GatewayRequest request, List<BackendServerState> engines, long nowNanos) {
        mDemand.computeIfAbsent(key(request), pause -> new DecayingCounter(DECAY_NANOS));
        updateSizes(engines.size(), nowNanos);
        if (engines.size() < mSizes.length) {
            return Group.ALL;
        }
        order(engines);
        return mGroups.get(key(request));
    }

    /**
     * Orders the engines by their hash unless that has been done.
     *
     * @param engines the engines of the service
     */
    private void order(List<BackendServerState> engines) {
        if (engines == mOrdered) {
            return;
        }
        List<BackendServerState> ordered = EngineOrder.of(engines, mBalanced);
        for (int position = 0; position < ordered.size(); position++) {
            ordered.get(position).place(position);
        }
        mOrdered = engines;
    }

    /**
     * Returns the key of the group of a request.
     *
     * @param request the request
     * @return the longest pause in milliseconds
     */
    private static long key(GatewayRequest request) {
        return request.route().pauseTargetMillis();
    }

    /**
     * Recomputes the group sizes if the number of engines or of kinds has changed, or the demand
     * has shifted.
     *
     * @param engines the number of engines
     * @param nowNanos the local monotonic time
     */
    private void updateSizes(int engines, long nowNanos) {
        boolean changed = engines != mEngines || mSizes.length != mDemand.size();
        if (!changed && nowNanos - mCheckedNanos < CHECK_NANOS) {
            return;
        }
        mCheckedNanos = nowNanos;
        double[] shares = shares(engines, nowNanos);
        boolean shifted = false;
        for (int i = 0; i < shares.length && !changed; i++) {
            shifted |= Math.abs(shares[i] - mSizes[i]) > HYSTERESIS_ENGINES;
        }
        if (changed || shifted) {
            mSizes = rounded(shares, engines);
            mEngines = engines;
            updateGroups();
        }
    }

    /** Recomputes the groups from their sizes. */
    private void updateGroups() {
        mGroups.clear();
        int kind = 0;
        int begin = 0;
        for (long pause : mDemand.keySet()) {
            int end = begin + mSizes[kind++];
            mGroups.put(pause, new Group(begin, end));
            begin = end;
        }
    }

    /**
     * Returns the exact share of each kind of request before rounding.
     *
     * @param engines the number of engines
     * @param nowNanos the local monotonic time
     * @return the shares in engines
     */
    private double[] shares(int engines, long nowNanos) {
        double[] work = new double[mDemand.size()];
        int kind = 0;
        for (Map.Entry<Long, DecayingCounter> entry : mDemand.entrySet()) {
            double peerWork = mPeerLoads.work(mService, entry.getKey());
            work[kind++] = Math.sqrt(entry.getValue().at(nowNanos) + peerWork);
        }
        double total = Arrays.stream(work).sum();
        for (int i = 0; i < work.length; i++) {
            work[i] = total > 0 ? work[i] / total * engines : (double) engines / work.length;
        }
        return work;
    }

    /**
     * Rounds shares to whole engines, at least one per kind.
     *
     * @param shares the shares in engines
     * @param engines the number of engines
     * @return the sizes, which add up to the number of engines if there are enough
     */
    private static int[] rounded(double[] shares, int engines) {
        int[] sizes = new int[shares.length];
        Arrays.fill(sizes, 1);
        for (int left = engines - sizes.length; left > 0; left--) {
            int largestDeficit = 0;
            for (int i = 1; i < sizes.length; i++) {
                if (shares[i] - sizes[i] > shares[largestDeficit] - sizes[largestDeficit]) {
                    largestDeficit = i;
                }
            }
            sizes[largestDeficit]++;
        }
        return sizes;
    }
}
