package org.magnoliaseam.explain;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.magnoliaseam.model.RequestId;

/** Keeps the records of the most recent requests in bounded memory. Thread-safe. */
public final class RecordStore implements RecordSink {

    /** The maximum number of requests whose records are kept. */
    public static final int CAPACITY = 10_000;

    /** The records by request, oldest first. */
    private final Map<RequestId, List<DecisionRecord>> mRecords = new LinkedHashMap<>();

    @Override
    public synchronized void accept(DecisionRecord record) {
        mRecords.computeIfAbsent(record.requestId(), ignored -> new ArrayList<>(1)).add(record);
        if (mRecords.size() > CAPACITY) {
            RequestId oldest = mRecords.keySet().iterator().next();
            mRecords.remove(oldest);
        }
    }

    /**
     * Finds the records of a request.
     *
     * @param id the request
     * @return the records that are still kept, oldest first
     */
    public synchronized List<DecisionRecord> find(RequestId id) {
        return List.copyOf(mRecords.getOrDefault(id, List.of()));
    }
}
