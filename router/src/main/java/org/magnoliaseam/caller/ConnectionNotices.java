package org.magnoliaseam.caller;

import java.util.EnumMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.magnoliaseam.time.MonotonicClock;

/** Counts and logs the requests that fail at their connections. Thread-safe. */
public final class ConnectionNotices {

    /** Logs the failures. */
    private static final Logger LOG = LogManager.getLogger("callers");

    /** The shortest time between two log lines on the same reason, in nanoseconds. */
    private static final long LOG_INTERVAL_NANOS = TimeUnit.SECONDS.toNanos(5);

    /** The number of failures by reason. */
    private final Map<UnansweredEnd, Long> mCounts = new EnumMap<>(UnansweredEnd.class);

    /** The local monotonic time of the last log line by reason. */
    private final Map<UnansweredEnd, Long> mLoggedNanos = new EnumMap<>(UnansweredEnd.class);

    /** The clock. */
    private final MonotonicClock mClock;

    /**
     * Creates notices without a failure.
     *
     * @param clock the clock
     */
    public ConnectionNotices(MonotonicClock clock) {
        mClock = clock;
    }

    /**
     * Counts a failed request and logs it unless the reason was logged shortly before.
     *
     * @param reason why it failed
     * @param cause the exception; null if there was none
     */
    public synchronized void ended(UnansweredEnd reason, Throwable cause) {
        mCounts.merge(reason, 1L, Long::sum);
        long now = mClock.nanos();
        Long logged = mLoggedNanos.get(reason);
        if (logged == null || now - logged >= LOG_INTERVAL_NANOS) {
            mLoggedNanos.put(reason, now);
            LOG.warn(
                    "callers: request failed at its connection, reason={} count={}",
                    reason.text(),
                    mCounts.get(reason),
                    cause);
        }
    }

    /**
     * Returns how many requests failed for a reason.
     *
     * @param reason the reason
     * @return the number since the start of the process
     */
    public synchronized long count(UnansweredEnd reason) {
        return mCounts.getOrDefault(reason, 0L);
    }
}
