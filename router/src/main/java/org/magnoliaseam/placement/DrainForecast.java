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

    /** The time constant of the memory of earlier queues, in nanoseconds. */
    private static final double MEMORY_NANOS = 60e9;

    /** The recent time with waiting requests below which its rate of starts is uncertain. */
    private static final double MIN_BUSY_SECONDS = 0.3;

    /**
     * The recent starts of waiting requests from which their rate is reliable. Fewer occur after a
     * time in which backend servers wanted no requests, and where requests wait only for moments.
     */
    private static final double MIN_STARTS = 8;

    /** The earlier time with waiting requests from which a rate of starts is known. */
    private static final double MIN_KNOWN_SECONDS = 1;

    /**
     * The smallest fraction of the starts that a priority gets beside more urgent ones. It is that
     * of the guaranteed share of {@link WaitQueue}.
     */
    private static final double MIN_SHARE = 0.125;

    /**
     * The smallest fraction of the starts that the lower ranks of a priority get. It is that of the
     * guaranteed share of {@link WaitLevel}.
     */
    private static final double MIN_RANK_SHARE = 0.0625;

    /** The number of nanoseconds in a second. */
    private static final double NANOS_PER_SECOND = 1e9;

    /** The number of milliseconds in a second. */
    private static final double MILLIS_PER_SECOND = 1000;

    /** The recent starts of all requests while requests waited. */
    private final DecayingCounter mStarts = new DecayingCounter(DECAY_NANOS);

    /** The recent time with waiting requests, in seconds. */
    private final DecayingCounter mBusySeconds = new DecayingCounter(DECAY_NANOS);

    /** The starts of all requests while requests waited, over a long time. */
    private final DecayingCounter mKnownStarts = new DecayingCounter(MEMORY_NANOS);

    /** The time with waiting requests, over a long time, in seconds. */
    private final DecayingCounter mKnownSeconds = new DecayingCounter(MEMORY_NANOS);

    /** Whether requests wait. */
    private boolean mWaiting;

    /** The local monotonic time of the last change. */
    private long mChangedNanos;

    /** The recent arrivals by the place of their rank among those of all priorities. */
    private final Map<Integer, DecayingCounter> mArrivals = new TreeMap<>();

    /**
     * Counts a request that arrived.
     *
     * @param priority its priority
     * @param rank its rank within the priority
     * @param nowNanos the local monotonic time
     */
    public void arrived(int priority, WaitRank rank, long nowNanos) {
        mArrivals
                .computeIfAbsent(rank.place(priority), place -> new DecayingCounter(DECAY_NANOS))
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
            mKnownStarts.add(1, nowNanos);
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
            double seconds = (nowNanos - mChangedNanos) / NANOS_PER_SECOND;
            mBusySeconds.add(seconds, nowNanos);
            mKnownSeconds.add(seconds, nowNanos);
        }
        mWaiting = waiting;
        mChangedNanos = nowNanos;
    }

    /**
     * Forecasts the wait of a request.
     *
     * @param priority its priority
     * @param rank its rank within the priority
     * @param ahead the waiting requests that come before it
     * @param nowNanos the local monotonic time
     * @return the wait in milliseconds; 0 if nothing comes before it or the rate is not known yet
     */
    public double waitMillis(int priority, WaitRank rank, int ahead, long nowNanos) {
        double starts = startsPerSecond(nowNanos);
        if (ahead == 0 || starts == 0) {
            return 0;
        }
        int place = rank.place(priority);
        double urgent = 0;
        for (Map.Entry<Integer, DecayingCounter> arrivals : mArrivals.entrySet()) {
            if (arrivals.getKey() < place) {
                urgent += arrivals.getValue().perSecond(nowNanos);
            }
        }
        double share = rank == WaitRank.TIMELY ? MIN_SHARE : MIN_RANK_SHARE;
        double left = Math.max(share * starts, starts - urgent);
        return ahead / left * MILLIS_PER_SECOND;
    }

    /**
     * Tells whether the rate of starts is reliable enough to refuse requests that wait already.
     *
     * @param nowNanos the local monotonic time
     * @return true if enough requests were started recently while requests waited
     */
    public boolean isReliable(long nowNanos) {
        return mStarts.at(nowNanos) >= MIN_STARTS;
    }

    /**
     * Estimates the rate of starts while requests wait. While the queue is young, its own rate is
     * uncertain; the larger one of it and of what is known from before is taken then, so that
     * nothing is refused on a rate that is too low.
     *
     * @param nowNanos the local monotonic time
     * @return the starts per second; 0 if the rate is not known yet
     */
    public double startsPerSecond(long nowNanos) {
        double current = mWaiting ? (nowNanos - mChangedNanos) / NANOS_PER_SECOND : 0;
        double busy = mBusySeconds.at(nowNanos) + current;
        double started = mStarts.at(nowNanos);
        if (busy >= MIN_BUSY_SECONDS) {
            return started / busy;
        }
        double known = mKnownSeconds.at(nowNanos);
        double before = known < MIN_KNOWN_SECONDS ? 0 : mKnownStarts.at(nowNanos) / known;
        return before == 0 ? 0 : Math.max(before, busy == 0 ? 0 : started / busy);
    }
}
