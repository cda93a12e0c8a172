package org.magnoliaseam.suspect;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * Remembers the starts of backend servers that have not crashed, though connections to them were
 * lost. Not thread-safe.
 */
final class SurvivedStarts {

    /** The time for which a lost connection is no evidence of a crash there, in nanoseconds. */
    private static final long UNRELIABLE_NANOS = TimeUnit.SECONDS.toNanos(3);

    /** The largest number of starts to keep; the oldest are dropped. */
    private static final int MAX_STARTS = 256;

    /** The local monotonic time at which each start was last known to live, oldest first. */
    private final Map<Long, Long> mNanos = new LinkedHashMap<>();

    /**
     * Records that a start has not crashed.
     *
     * @param server the hash of the start
     * @param nanos the local monotonic time at which it is known to live
     * @return true if it was not known for some time
     */
    boolean add(long server, long nanos) {
        boolean known = isUnreliable(server, nanos);
        mNanos.remove(server);
        mNanos.put(server, nanos);
        if (mNanos.size() > MAX_STARTS) {
            mNanos.remove(mNanos.keySet().iterator().next());
        }
        return !known;
    }

    /**
     * Tells whether a connection lost at a start is no evidence of a crash.
     *
     * @param server the hash of the start
     * @param nanos the local monotonic time at which it was lost
     * @return true until some time after the start was known to live though others were lost
     */
    boolean isUnreliable(long server, long nanos) {
        Long alive = mNanos.get(server);
        return alive != null && nanos - alive <= UNRELIABLE_NANOS;
    }
}
