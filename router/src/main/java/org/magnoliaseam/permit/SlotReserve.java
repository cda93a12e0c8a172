package org.magnoliaseam.permit;

import java.util.TreeMap;
import org.magnoliaseam.placement.DecayingCounter;

/**
 * Decides how many slots of one engine are kept for its most urgent requests. Short urgent streams
 * would otherwise wait for the end of a longer one whenever a burst of others has taken all slots.
 * The reserve follows the rate of their recent starts and their mean time in a slot. Not
 * thread-safe.
 */
final class SlotReserve {

    /** The time constant of the exponential decay of the rate of starts, in nanoseconds. */
    private static final double DECAY_NANOS = 8e9;

    /** The weight of the latest request in the moving average of the time in a slot. */
    private static final double LATEST_WEIGHT = 0.1;

    /** The largest reserve as a fraction of the slots, so that the others keep most of them. */
    private static final double MAX_SHARE = 1.0 / 3;

    /** The recent starts below which a priority is forgotten. */
    private static final double MIN_STARTS = 0.01;

    /** The number of nanoseconds in a second. */
    private static final double NANOS_PER_SECOND = 1e9;

    /** The demand of each priority. */
    private final TreeMap<Integer, Demand> mDemands = new TreeMap<>();

    /** Holds the demand of one priority. */
    private static final class Demand {

        /** The recent starts. */
        private final DecayingCounter mStarts = new DecayingCounter(DECAY_NANOS);

        /** The mean time in a slot in nanoseconds; 0 before the first end. */
        private double mHeldNanos;
    }

    /**
     * Counts a request that got a slot.
     *
     * @param priority its priority
     * @param nowNanos the local monotonic time
     */
    void started(int priority, long nowNanos) {
        mDemands.values().removeIf(demand -> demand.mStarts.at(nowNanos) < MIN_STARTS);
        mDemands.computeIfAbsent(priority, key -> new Demand()).mStarts.add(1, nowNanos);
    }

    /**
     * Records the end of a request.
     *
     * @param priority its priority
     * @param heldNanos the time in a slot in nanoseconds
     */
    void ended(int priority, long heldNanos) {
        Demand demand = mDemands.get(priority);
        if (demand != null) {
            double before = demand.mHeldNanos;
            demand.mHeldNanos =
                    before == 0 ? heldNanos : before + LATEST_WEIGHT * (heldNanos - before);
        }
    }

    /**
     * Returns the most urgent priority with recent starts.
     *
     * @return the priority; the largest number if there is none
     */
    int mostUrgent() {
        return mDemands.isEmpty() ? Integer.MAX_VALUE : mDemands.firstKey();
    }

    /**
     * Returns the slots that the most urgent requests need, with those that they use. The mean
     * number of slots in use is the rate times the time in a slot; its square root is the usual
     * deviation of a number of independent arrivals.
     *
     * @param slots the slots of the engine
     * @param nowNanos the local monotonic time
     * @return the slots, at most a third of all
     */
    int slots(int slots, long nowNanos) {
        if (mDemands.isEmpty()) {
            return 0;
        }
        Demand demand = mDemands.firstEntry().getValue();
        double load = demand.mStarts.perSecond(nowNanos) * demand.mHeldNanos / NANOS_PER_SECOND;
        return (int) Math.min(MAX_SHARE * slots, Math.round(load + Math.sqrt(load)));
    }
}
