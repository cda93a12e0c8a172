package org.magnoliaseam.gateway;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.magnoliaseam.gossip.Demand;
import org.magnoliaseam.membership.StableHash;
import org.magnoliaseam.model.ServiceName;

/**
 * Divides the engines of a service between requests that bear unlike pauses, since a long prompt
 * delays every stream on its engine. The division follows the demand of each kind; all entry VMs
 * order the engines alike and see about the same demand. Shares follow the square root of the
 * demand, which gives small streams of work the reserve that keeps their waits short (Kleinrock's
 * capacity assignment). Not thread-safe.
 */
final class EngineGroups {

    /** The time in which old demand loses most of its weight, in nanoseconds. */
    private static final double MEMORY_NANOS = 8e9;

    /** The time between two looks at the division, in nanoseconds. */
    private static final long REVIEW_NANOS = 2_000_000_000L;

    /** The engines by which a share must miss its size before the division changes. */
    private static final double HYSTERESIS_ENGINES = 0.75;

    /** The work of an answer token relative to a prompt token. */
    private static final double ANSWER_TOKEN_WORK = 1;

    /** The service. */
    private final ServiceName mService;

    /** What the other entry VMs tell. */
    private final ForeignLoads mForeign;

    /** The demand by the longest pause that the requests bear. */
    private final Map<Long, DemandMeter> mDemand = new TreeMap<>();

    /** The engines of each kind of request, in the order of the pauses. */
    private int[] mSizes = {};

    /** The engines that the sizes add up to. */
    private int mEngines;

    /** The local monotonic time of the last look. */
    private long mReviewedNanos;

    /** Measures the work that one kind of request brings. */
    private static final class DemandMeter {

        /** The work, of which old parts have lost weight. */
        private double mWork;

        /** The local monotonic time of the last request. */
        private long mNanos;

        /**
         * Adds work.
         *
         * @param work the work in prompt tokens
         * @param nowNanos the local monotonic time
         */
        void add(double work, long nowNanos) {
            mWork = at(nowNanos) + work;
            mNanos = nowNanos;
        }

        /**
         * Returns the work that counts now.
         *
         * @param nowNanos the local monotonic time
         * @return the work in prompt tokens
         */
        double at(long nowNanos) {
            return mWork * Math.exp(-Math.max(0, nowNanos - mNanos) / MEMORY_NANOS);
        }
    }

    /**
     * Creates a division.
     *
     * @param service the service
     * @param foreign what the other entry VMs tell
     */
    EngineGroups(ServiceName service, ForeignLoads foreign) {
        mService = service;
        mForeign = foreign;
    }

    /**
     * Returns the work that this entry VM got lately.
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
     * Counts the work of a request. Shared parts count where they have to be read, so that requests
     * get more engines while these keep little.
     *
     * @param request the request
     * @param unreadTokens the prompt tokens that its engine has to read
     * @param nowNanos the local monotonic time
     */
    void started(GatewayRequest request, long unreadTokens, long nowNanos) {
        double work = unreadTokens + ANSWER_TOKEN_WORK * request.prompt().maxOutputTokens();
        mDemand.computeIfAbsent(key(request), pause -> new DemandMeter()).add(work, nowNanos);
    }

    /**
     * Holds the engines for the requests that bear the same pause.
     *
     * @param own the engines meant for them, at least one
     * @param laxer the engines meant for requests that bear longer pauses, which may help out
     */
    record Group(List<ServerState> own, List<ServerState> laxer) {}

    /**
     * Returns the engines for the requests that bear the same pause.
     *
     * @param request the request
     * @param engines the engines of the service
     * @param nowNanos the local monotonic time
     * @return the group
     */
    Group group(GatewayRequest request, List<ServerState> engines, long nowNanos) {
        mDemand.computeIfAbsent(key(request), pause -> new DemandMeter());
        review(engines.size(), nowNanos);
        int kind = new ArrayList<>(mDemand.keySet()).indexOf(key(request));
        if (kind < 0 || engines.size() < mSizes.length) {
            return new Group(engines, List.of());
        }
        List<ServerState> ordered = new ArrayList<>(engines);
        ordered.sort(Comparator.comparingLong(state -> StableHash.of(state.id().value(), 0)));
        int begin = Arrays.stream(mSizes, 0, kind).sum();
        int end = begin + mSizes[kind];
        return new Group(ordered.subList(begin, end), ordered.subList(end, ordered.size()));
    }

    /**
     * Returns what requests that bear the same pause have in common.
     *
     * @param request the request
     * @return the longest pause in milliseconds
     */
    private static long key(GatewayRequest request) {
        return request.route().pauseTargetMillis();
    }

    /**
     * Divides the engines anew if their number has changed or the demand has moved.
     *
     * @param engines the number of engines
     * @param nowNanos the local monotonic time
     */
    private void review(int engines, long nowNanos) {
        boolean changed = engines != mEngines || mSizes.length != mDemand.size();
        if (!changed && nowNanos - mReviewedNanos < REVIEW_NANOS) {
            return;
        }
        mReviewedNanos = nowNanos;
        double[] shares = shares(engines, nowNanos);
        boolean moved = false;
        for (int i = 0; i < shares.length && !changed; i++) {
            moved |= Math.abs(shares[i] - mSizes[i]) > HYSTERESIS_ENGINES;
        }
        if (changed || moved) {
            mSizes = rounded(shares, engines);
            mEngines = engines;
        }
    }

    /**
     * Returns the engines that each kind of request deserves.
     *
     * @param engines the number of engines
     * @param nowNanos the local monotonic time
     * @return the shares in engines
     */
    private double[] shares(int engines, long nowNanos) {
        double[] work = new double[mDemand.size()];
        int kind = 0;
        for (Map.Entry<Long, DemandMeter> entry : mDemand.entrySet()) {
            double foreign = mForeign.work(mService, entry.getKey());
            work[kind++] = Math.sqrt(entry.getValue().at(nowNanos) + foreign);
        }
        double total = Arrays.stream(work).sum();
        for (int i = 0; i < work.length; i++) {
            work[i] = total > 0 ? work[i] / total * engines : (double) engines / work.length;
        }
        return work;
    }

    /**
     * Rounds shares to whole engines, at least one each.
     *
     * @param shares the shares in engines
     * @param engines the number of engines
     * @return the sizes, which add up to the number of engines if there are enough
     */
    private static int[] rounded(double[] shares, int engines) {
        int[] sizes = new int[shares.length];
        Arrays.fill(sizes, 1);
        for (int left = engines - sizes.length; left > 0; left--) {
            int neediest = 0;
            for (int i = 1; i < sizes.length; i++) {
                if (shares[i] - sizes[i] > shares[neediest] - sizes[neediest]) {
                    neediest = i;
                }
            }
            sizes[neediest]++;
        }
        return sizes;
    }
}
