package org.magnoliaseam.testbed.ledger;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Records every run of an order by its key. Access is synchronized. */
public final class LedgerRuns {

    /** The start times of the runs by key. */
    private final Map<String, List<Long>> mStarts = new LinkedHashMap<>();

    /**
     * Records a run.
     *
     * @param key the key of the order
     * @param nowMillis the time of the start in milliseconds since the epoch
     * @return the number of runs of the key so far
     */
    public synchronized int run(String key, long nowMillis) {
        List<Long> starts = mStarts.computeIfAbsent(key, unused -> new ArrayList<>());
        starts.add(nowMillis);
        return starts.size();
    }

    /**
     * Returns the runs of a key.
     *
     * @param key the key of the order
     * @return the number of runs
     */
    public synchronized int count(String key) {
        return mStarts.getOrDefault(key, List.of()).size();
    }

    /**
     * Returns all runs.
     *
     * @return the runs in the order of the first start of each key
     */
    public synchronized RunList list() {
        List<KeyRuns> runs = new ArrayList<>();
        mStarts.forEach(
                (key, starts) -> runs.add(new KeyRuns(key, starts.size(), List.copyOf(starts))));
        return new RunList(runs);
    }

    /**
     * Holds the runs of all keys.
     *
     * @param runs the runs
     */
    public record RunList(List<KeyRuns> runs) {}

    /**
     * Holds the runs of one key.
     *
     * @param key the key of the order
     * @param count the number of runs
     * @param starts the start times in milliseconds since the epoch
     */
    public record KeyRuns(String key, int count, List<Long> starts) {}
}
