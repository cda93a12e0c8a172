package org.magnoliaseam.placement;

import java.util.Map;
import java.util.TreeMap;

/**
 * Forecasts how long a request of one service waits for a backend server: the requests before it
 * are started at the recent rate of starts, less the rate at which more urgent ones arrive. Answers
 * a burst above the capacity of the service. Not thread-safe.
 */
public final class DrainForecast {

    /** The time constant of the measured rates, in nanoseconds. */
    private static final double DECAY_NANOS = 2e9;

    /** The recent time with waiting requests below which the rate of starts is unknown. */
    private static final double MIN_BUSY_SECONDS = 0.3;

    /**
     * The smallest fraction of the starts that a priority gets beside more urgent ones. It is that
     * of the guaranteed share of {@link WaitQueue}.
     */
    private static final double MIN_SHARE = 0.125;

    /** The number of nanoseconds in a second. */
    private static final double NANOS_PER_SECOND = 1e9;

    /** The number of milliseconds in a second. */
    private static final double MILLIS_PER_SECOND = 1000;

    /** The recent starts of all requests while requests waited. */
    private final DecayingCounter mStarts = new DecayingCounter(DECAY_NANOS);

    /** The recent time with waiting requests, in seconds. */
    private final DecayingCounter mBusySeconds = new DecayingCounter(DECAY_NANOS);

    /** Whether requests wait. */
    private boolean mWaiting;

    /** The local monotonic time of the last change. */
    private long mChangedNanos;

    /** The recent arrivals by priority. */
    private final Map<Integer, DecayingCounter> mArrivals = new TreeMap<>();

    /**
     * Counts a request that arrived.
     *
     * @param priority its priority
     * @param nowNanos the local monotonic time
     */
    public void arrived(int priority, long nowNanos) {
        mArrivals
                .computeIfAbsent(priority, level -> new DecayingCounter(DECAY_NANOS))
                .add(1, nowNanos);
    }

    /**
     * Counts a request that was started. While nothing waits, the starts follow the arrivals and
     * tell nothing about the capacity.
     *
     * @param nowNanos the local monotonic time
     */
    public void started(long nowNanos) {
        if (mWaiting) {
            mStarts.add(1, nowNanos);
        }
    }

    /**
     * Records whether requests wait from now on.
     *
     * @param waiting whether requests wait
     * @param nowNanos the local monotonic time
     */
    public void waiting(boolean waiting, long nowNanos) {
        if (mWaiting) {
            mBusySeconds.add((nowNanos - mChangedNanos) / NANOS_PER_SECOND, nowNanos);
        }
        mWaiting = waiting;
        mChangedNanos = nowNanos;
    }

    /**
     * Forecasts the wait of a new request.
     *
     * @param priority its priority
     * @param ahead the waiting requests that come before it
     * @param nowNanos the local monotonic time
     * @return the wait in milliseconds; 0 if nothing waits or the rate is not known yet
     */
    public double waitMillis(int priority, int ahead, long nowNanos) {
        double busy = mBusySeconds.at(nowNanos);
        double started = mStarts.at(nowNanos);
        if (ahead == 0 || busy < MIN_BUSY_SECONDS || started == 0) {
            return 0;
        }
        double starts = started / busy;
        double urgent = 0;
        for (Map.Entry<Integer, DecayingCounter> arrivals : mArrivals.entrySet()) {
            if (arrivals.getKey() < priority) {
                urgent += arrivals.getValue().perSecond(nowNanos);
            }
        }
        double left = Math.max(MIN_SHARE * starts, starts - urgent);
        return ahead / left * MILLIS_PER_SECOND;
    }
}
