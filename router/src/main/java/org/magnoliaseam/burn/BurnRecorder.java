package org.magnoliaseam.burn;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.magnoliaseam.explain.DecisionRecord;
import org.magnoliaseam.explain.RecordSink;
import org.magnoliaseam.model.RequestClassId;
import org.magnoliaseam.model.VmId;
import org.magnoliaseam.settings.Configuration;
import org.magnoliaseam.time.MonotonicClock;

/**
 * Counts the requests of this entry VM for the report on service-level burn, in bounded memory.
 * Class, cause and account are counted by the entry VM that the caller is connected to, the failure
 * domain by the entry VM that chose the backend server. The sum over all entry VMs therefore counts
 * each request once. Thread-safe.
 */
public final class BurnRecorder implements RecordSink {

    /**
     * The number of series from which new names, but not classes, are counted as {@link #OTHER}.
     */
    static final int MAX_SERIES = 2_048;

    /** The name of the series that counts all names beyond {@link #MAX_SERIES}. */
    static final String OTHER = "other";

    /** This entry VM. */
    private final VmId mVm;

    /** Supplies the configuration in force; empty before the first one. */
    private final Supplier<Optional<Configuration>> mConfiguration;

    /** The clock. */
    private final MonotonicClock mClock;

    /** The local monotonic time at which counting started. */
    private final long mStartNanos;

    /** The series of counts by key. */
    private final Map<BurnKey, BurnSeries> mSeries = new ConcurrentHashMap<>();

    /**
     * Creates an empty ledger.
     *
     * @param vm this entry VM
     * @param configuration supplies the configuration in force, or empty
     * @param clock the clock
     */
    public BurnRecorder(
            VmId vm, Supplier<Optional<Configuration>> configuration, MonotonicClock clock) {
        mVm = vm;
        mConfiguration = configuration;
        mClock = clock;
        mStartNanos = clock.nanos();
    }

    @Override
    public void accept(DecisionRecord record) {
        Optional<Configuration> configuration = mConfiguration.get();
        if (configuration.isEmpty() || !BurnClassifier.countsAgainstObjective(record)) {
            return;
        }
        Optional<String> cause = BurnClassifier.cause(record, configuration.get());
        boolean bad = cause.isPresent();
        RequestClassId id = record.requestClass();
        if (BurnClassifier.fromCaller(record)) {
            count(new BurnKey(id, BurnDimension.CLASS, ""), bad);
            count(new BurnKey(id, BurnDimension.ACCOUNT, record.account().value()), bad);
            cause.ifPresent(name -> count(new BurnKey(id, BurnDimension.CAUSE, name), true));
        }
        BurnClassifier.failureDomain(record, configuration.get())
                .map(domain -> new BurnKey(id, BurnDimension.FAILURE_DOMAIN, domain.value()))
                .ifPresent(key -> count(key, bad));
    }

    /**
     * Reads the counts of this entry VM.
     *
     * @return the counts
     */
    public BurnCounts read() {
        long now = sinceStart();
        Map<BurnKey, List<BurnCount>> windows = new TreeMap<>(BurnCounts.ORDER);
        Map<RequestClassId, List<BurnCount>> timelines = new ConcurrentHashMap<>();
        mSeries.forEach(
                (key, series) -> {
                    windows.put(key, series.windows(now));
                    if (key.dimension() == BurnDimension.CLASS) {
                        timelines.put(
                                key.requestClass(),
                                series.timeline(BurnCounts.TIMELINE_WINDOW, now));
                    }
                });
        BurnSource source = new BurnSource(mVm, TimeUnit.NANOSECONDS.toSeconds(now));
        return new BurnCounts(List.of(source), windows, timelines);
    }

    /**
     * Counts a request in one series.
     *
     * @param key what is counted
     * @param bad whether it missed a target or was refused
     */
    private void count(BurnKey key, boolean bad) {
        BurnSeries series = mSeries.get(key);
        if (series == null) {
            boolean full = mSeries.size() >= MAX_SERIES && key.dimension() != BurnDimension.CLASS;
            BurnKey seriesKey =
                    full ? new BurnKey(key.requestClass(), key.dimension(), OTHER) : key;
            series = mSeries.computeIfAbsent(seriesKey, ignored -> new BurnSeries());
        }
        series.add(bad, sinceStart());
    }

    /**
     * Returns the time since counting started.
     *
     * @return the time in nanoseconds
     */
    private long sinceStart() {
        return mClock.nanos() - mStartNanos;
    }
}
