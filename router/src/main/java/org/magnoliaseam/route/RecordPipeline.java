package org.magnoliaseam.route;

import com.codahale.metrics.MetricRegistry;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.util.concurrent.TimeUnit;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.magnoliaseam.burn.BurnRecorder;
import org.magnoliaseam.explain.DecisionRecord;
import org.magnoliaseam.explain.RecordJson;
import org.magnoliaseam.explain.RecordSink;
import org.magnoliaseam.explain.RecordStore;
import org.magnoliaseam.explain.RecordSummary;

/**
 * Passes each decision record to the store, the burn recorder, the metrics and the log.
 * Thread-safe.
 */
public final class RecordPipeline implements RecordSink {

    /** The log of decision records, one JSON object per line. */
    private static final Logger RECORDS = LogManager.getLogger("records");

    /** The log of failures to write decision records. */
    private static final Logger LOG = LogManager.getLogger("explain");

    /** Writes JSON. */
    private static final ObjectMapper MAPPER = new ObjectMapper();

    /** Keeps records. */
    private final RecordStore mStore;

    /** Counts requests for the report on service-level burn. */
    private final BurnRecorder mBurn;

    /** The metrics. */
    private final MetricRegistry mMetrics;

    /**
     * Creates a pipeline.
     *
     * @param store keeps records
     * @param burn counts requests for the report on service-level burn
     * @param metrics the metrics
     */
    public RecordPipeline(RecordStore store, BurnRecorder burn, MetricRegistry metrics) {
        mStore = store;
        mBurn = burn;
        mMetrics = metrics;
    }

    @Override
    public void accept(DecisionRecord record) {
        mStore.accept(record);
        mBurn.accept(record);
        measure(record);
        try {
            RECORDS.info(MAPPER.writeValueAsString(RecordJson.of(record)));
        } catch (JsonProcessingException e) {
            LOG.error("explain: record not written, cause={}", e.getClass().getSimpleName());
        }
    }

    /**
     * Counts the outcome and the times of a request.
     *
     * @param record the record
     */
    private void measure(DecisionRecord record) {
        RecordSummary summary = record.summary();
        String requestClass = "class." + record.requestClass();
        mMetrics.counter(requestClass + ".outcome." + summary.outcome()).inc();
        if (summary.onTime()) {
            mMetrics.counter(requestClass + ".on_time").inc();
        }
        mMetrics.timer(requestClass + ".queue")
                .update(summary.queueMillis(), TimeUnit.MILLISECONDS);
        mMetrics.timer(requestClass + ".whole")
                .update(summary.wholeMillis(), TimeUnit.MILLISECONDS);
        if (summary.firstTokenMillis() >= 0) {
            mMetrics.timer(requestClass + ".first_token")
                    .update(summary.firstTokenMillis(), TimeUnit.MILLISECONDS);
        }
    }
}
