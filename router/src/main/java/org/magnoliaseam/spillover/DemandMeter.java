package org.magnoliaseam.spillover;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.magnoliaseam.model.FailureDomain;
import org.magnoliaseam.placement.DecayingCounter;

/**
 * Measures the work for one service that arrives at an entry VM. A request keeps a backend server
 * busy for the longer of the time to process its prompt and the time in a slot divided by the
 * number of slots. Not thread-safe.
 */
public final class DemandMeter {

    /** The time constant of the rates of requests, in nanoseconds. */
    private static final double RATE_DECAY_NANOS = 2e9;

    /** The time constant of the work of a request, in nanoseconds. */
    private static final double WORK_DECAY_NANOS = 8e9;

    /** The longest time that one sample of running requests stands for, in nanoseconds. */
    private static final long MAX_SAMPLE_NANOS = 1_000_000_000L;

    /** The number of nanoseconds in a second. */
    private static final double NANOS_PER_SECOND = 1e9;

    /** The number of milliseconds in a second. */
    private static final double MILLIS_PER_SECOND = 1000;

    /** The requests that arrived. */
    private final DecayingCounter mArrivals = new DecayingCounter(RATE_DECAY_NANOS);

    /** The attempts that started. */
    private final DecayingCounter mStarts = new DecayingCounter(WORK_DECAY_NANOS);

    /** The time to process their prompts, in seconds. */
    private final DecayingCounter mProcessing = new DecayingCounter(WORK_DECAY_NANOS);

    /** The time that attempts spent in slots, in seconds. */
    private final DecayingCounter mInSlots = new DecayingCounter(WORK_DECAY_NANOS);

    /** The attempts that started in each other failure domain. */
    private final Map<FailureDomain, DecayingCounter> mCrossed = new LinkedHashMap<>();

    /** The local monotonic time of the last sample. */
    private long mSampledNanos;

    /**
     * Creates a meter without requests.
     *
     * @param nowNanos the local monotonic time
     */
    public DemandMeter(long nowNanos) {
        mSampledNanos = nowNanos;
    }

    /**
     * Counts a request that arrived.
     *
     * @param nowNanos the local monotonic time
     */
    public void arrived(long nowNanos) {
        mArrivals.add(1, nowNanos);
    }

    /**
     * Counts an attempt that starts.
     *
     * @param processingMillis the time to process its prompt, in milliseconds
     * @param nowNanos the local monotonic time
     */
    public void started(double processingMillis, long nowNanos) {
        mStarts.add(1, nowNanos);
        mProcessing.add(processingMillis / MILLIS_PER_SECOND, nowNanos);
    }

    /**
     * Counts an attempt that starts in another failure domain.
     *
     * @param domain the failure domain
     * @param nowNanos the local monotonic time
     */
    public void crossed(FailureDomain domain, long nowNanos) {
        mCrossed.computeIfAbsent(domain, name -> new DecayingCounter(RATE_DECAY_NANOS))
                .add(1, nowNanos);
    }

    /**
     * Records the slots that the attempts in progress use; called periodically.
     *
     * @param slots the number of slots
     * @param nowNanos the local monotonic time
     */
    public void sampled(double slots, long nowNanos) {
        long elapsed = Math.min(MAX_SAMPLE_NANOS, nowNanos - mSampledNanos);
        mSampledNanos = nowNanos;
        mInSlots.add(slots * elapsed / NANOS_PER_SECOND, nowNanos);
    }

    /**
     * Returns the demand that arrives.
     *
     * @param slots the slots of a backend server; 0 if it has no limit
     * @param nowNanos the local monotonic time
     * @return the work per second, in backend servers that it keeps busy
     */
    public double demand(double slots, long nowNanos) {
        return mArrivals.perSecond(nowNanos) * work(slots, nowNanos);
    }

    /**
     * Returns the work that goes to other failure domains.
     *
     * @param slots the slots of a backend server; 0 if it has no limit
     * @param nowNanos the local monotonic time
     * @return the work for each failure domain that gets some
     */
    public List<Crossing> sent(double slots, long nowNanos) {
        double work = work(slots, nowNanos);
        List<Crossing> sent = new ArrayList<>();
        mCrossed.forEach(
                (domain, counter) -> {
                    double servers = counter.perSecond(nowNanos) * work;
                    if (servers > Crossing.NEGLIGIBLE) {
                        sent.add(new Crossing(domain, servers));
                    }
                });
        return sent;
    }

    /**
     * Returns the mean time that a request spends in a slot.
     *
     * @param nowNanos the local monotonic time
     * @return the time in milliseconds; 0 before the first request
     */
    public double slotMillis(long nowNanos) {
        double starts = mStarts.at(nowNanos);
        return starts > 0 ? MILLIS_PER_SECOND * mInSlots.at(nowNanos) / starts : 0;
    }

    /**
     * Returns the mean work of a request.
     *
     * @param slots the slots of a backend server; 0 if it has no limit
     * @param nowNanos the local monotonic time
     * @return the time for which it keeps a backend server busy, in seconds
     */
    private double work(double slots, long nowNanos) {
        double starts = mStarts.at(nowNanos);
        if (starts <= 0) {
            return 0;
        }
        double inSlot = slots > 0 ? mInSlots.at(nowNanos) / starts / slots : 0;
        return Math.max(mProcessing.at(nowNanos) / starts, inSlot);
    }
}
