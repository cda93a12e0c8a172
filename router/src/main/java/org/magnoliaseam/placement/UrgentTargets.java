package org.magnoliaseam.placement;

import java.util.Map;
import java.util.TreeMap;

/**
 * Tracks the strictest target of the recent requests of each priority of one service. A request may
 * load an engine only so far that more urgent requests still meet their targets there. Answers a
 * burst of long prompts with a generous target, which would otherwise fill all engines up to its
 * own limit before the more urgent requests arrive. Not thread-safe.
 */
public final class UrgentTargets {

    /** The time for which a priority without requests still counts, in nanoseconds. */
    private static final long VALID_NANOS = 10_000_000_000L;

    /** The recent targets by priority. */
    private final Map<Integer, Target> mTargets = new TreeMap<>();

    /**
     * Holds the strictest target of a priority.
     *
     * @param millis the target in milliseconds
     * @param nanos the local monotonic time of its last request
     */
    private record Target(long millis, long nanos) {}

    /**
     * Records a request.
     *
     * @param priority its priority
     * @param targetMillis its target for the first event in milliseconds
     * @param nowNanos the local monotonic time
     */
    public void arrived(int priority, long targetMillis, long nowNanos) {
        Target known = mTargets.get(priority);
        if (known == null || isExpired(known, nowNanos) || targetMillis <= known.millis()) {
            mTargets.put(priority, new Target(targetMillis, nowNanos));
        }
    }

    /**
     * Returns the strictest target that a request has to leave room for.
     *
     * @param priority the priority of the request
     * @param targetMillis its own target in milliseconds
     * @param nowNanos the local monotonic time
     * @return the strictest of its own target and those of more urgent requests, in milliseconds
     */
    public long strictest(int priority, long targetMillis, long nowNanos) {
        long strictest = targetMillis;
        for (Map.Entry<Integer, Target> entry : mTargets.entrySet()) {
            if (entry.getKey() < priority && !isExpired(entry.getValue(), nowNanos)) {
                strictest = Math.min(strictest, entry.getValue().millis());
            }
        }
        return strictest;
    }

    /**
     * Tells whether a target no longer counts.
     *
     * @param target the target
     * @param nowNanos the local monotonic time
     * @return true if no request had it recently
     */
    private static boolean isExpired(Target target, long nowNanos) {
        return nowNanos - target.nanos() > VALID_NANOS;
    }
}
