package org.magnoliaseam.gateway;

import com.codahale.metrics.MetricRegistry;
import java.util.EnumMap;
import java.util.Map;
import java.util.concurrent.atomic.LongAdder;
import org.magnoliaseam.spillover.SpillReason;

/** Counts the requests in the own and in other failure domains. Thread-safe. */
public final class SpilloverCounts {

    /** The prefix of all metrics. */
    private static final String PREFIX = "gateway.spillover.";

    /** The upper bounds of the buckets of the share, in percent. */
    private static final int[] BUCKETS = {0, 10, 25, 50, 75, 100};

    /** The number of percent in a whole. */
    private static final double PERCENT = 100;

    /** The attempts by the reason for their failure domain. */
    private final Map<SpillReason, LongAdder> mAttempts = new EnumMap<>(SpillReason.class);

    /** The updates by the share that they found, up to each bound and above the one before. */
    private final LongAdder[] mShares = new LongAdder[BUCKETS.length];

    /** The number of changes of a share. */
    private final LongAdder mChanges = new LongAdder();

    /** Creates counts of zero. */
    SpilloverCounts() {
        for (SpillReason reason : SpillReason.values()) {
            mAttempts.put(reason, new LongAdder());
        }
        for (int i = 0; i < mShares.length; i++) {
            mShares[i] = new LongAdder();
        }
    }

    /**
     * Counts an attempt that was sent.
     *
     * @param reason why it runs in its failure domain
     */
    void sent(SpillReason reason) {
        mAttempts.get(reason).increment();
    }

    /**
     * Counts an update of a share.
     *
     * @param share the fraction of requests that leave
     * @param changed whether it has changed
     */
    void updated(double share, boolean changed) {
        int bucket = 0;
        while (share * PERCENT > BUCKETS[bucket] && bucket < BUCKETS.length - 1) {
            bucket++;
        }
        mShares[bucket].increment();
        if (changed) {
            mChanges.increment();
        }
    }

    /**
     * Returns the attempts for a reason.
     *
     * @param reason why they ran in their failure domain
     * @return the number since the start of the process
     */
    public long attempts(SpillReason reason) {
        return mAttempts.get(reason).sum();
    }

    /**
     * Registers the metrics.
     *
     * @param metrics the registry
     */
    public void register(MetricRegistry metrics) {
        mAttempts.forEach(
                (reason, count) -> metrics.registerGauge(PREFIX + reason.text(), count::sum));
        metrics.registerGauge(PREFIX + "changes", mChanges::sum);
        for (int i = 0; i < BUCKETS.length; i++) {
            metrics.registerGauge(PREFIX + "share.le_" + BUCKETS[i], mShares[i]::sum);
        }
    }
}
