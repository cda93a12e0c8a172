package org.magnoliaseam.gateway;

import com.codahale.metrics.MetricRegistry;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/** Writes the record of each request as one JSON line and updates the metrics. Thread-safe. */
public final class RequestLog {

    /** The kind of the log lines that are accounts of requests. */
    static final String EVENT = "request";

    /** Writes the lines. */
    private static final Logger LOG = LogManager.getLogger("records");

    /** Serializes the lines. */
    private static final ObjectMapper MAPPER = new ObjectMapper();

    /** The number of nanoseconds in a millisecond. */
    private static final double NANOS_PER_MILLI = 1e6;

    /** The counters and timers of requests. */
    private final MetricRegistry mMetrics;

    /** Returns the version of the catalog in force; empty if it is not known. */
    private final Supplier<Optional<Long>> mCatalogVersion;

    /**
     * Creates a log.
     *
     * @param metrics holds the counters and timers of requests
     */
    public RequestLog(MetricRegistry metrics) {
        this(metrics, Optional::empty);
    }

    /**
     * Creates a log that tells whether the catalog changed during a request.
     *
     * @param metrics holds the counters and timers of requests
     * @param catalogVersion returns the version of the catalog in force; empty if it is not known
     */
    public RequestLog(MetricRegistry metrics, Supplier<Optional<Long>> catalogVersion) {
        mMetrics = metrics;
        mCatalogVersion = catalogVersion;
    }

    /**
     * Returns the registry for the counters and timers.
     *
     * @return the metrics
     */
    MetricRegistry metrics() {
        return mMetrics;
    }

    /**
     * Writes the record of a request that has ended.
     *
     * @param record the record of the request
     * @param outcome how the request ended
     * @param nowNanos the local monotonic time
     */
    void ended(RequestRecord record, String outcome, long nowNanos) {
        count(record, outcome, nowNanos);
        GatewayRequest request = record.request();
        ObjectNode line = MAPPER.createObjectNode();
        line.put("event", EVENT);
        line.put("id", request.id().value());
        line.put("route", request.route().name());
        line.put("account", request.accountName());
        line.put("catalog", request.catalogVersion());
        mCatalogVersion
                .get()
                .filter(version -> version != request.catalogVersion())
                .ifPresent(version -> line.put("catalog_end", version));
        line.put("priority", request.priority());
        line.put("prompt_tokens", request.prompt().tokens());
        line.put("target_ms", request.route().targetMillis());
        line.put("pause_target_ms", request.route().pauseTargetMillis());
        line.put("pause_ms", Math.round(record.longestPauseNanos() / NANOS_PER_MILLI));
        line.put("caller_wait_ms", Math.round(record.longestCallerWaitNanos() / NANOS_PER_MILLI));
        line.put("deadline_ms", millis(request.deadlineNanos(), request));
        line.put("outcome", outcome);
        line.put("ms", millis(nowNanos, request));
        if (record.lostAnswer()) {
            ArrayNode parts = line.putArray("parts");
            request.prompt().sharedParts().forEach(part -> parts.add(part.id()));
        }
        ArrayNode steps = line.putArray("steps");
        for (RequestRecord.Step step : record.steps()) {
            ObjectNode node = steps.addObject();
            node.put("ms", millis(step.nanos(), request));
            node.put("step", step.kind().text());
            node.put("server", step.server());
            node.put("detail", step.detail());
        }
        LOG.info(line);
    }

    /**
     * Counts a request that begins to wait or is refused instead.
     *
     * @param forecastMillis the forecast of its wait in milliseconds; 0 if it is not known
     * @param excessive whether it comes after the requests of the other accounts
     */
    void forecast(double forecastMillis, boolean excessive) {
        mMetrics.histogram("gateway.waiting.forecast_ms").update(Math.round(forecastMillis));
        if (excessive) {
            mMetrics.counter("gateway.waiting.excessive").inc();
        }
    }

    /** Counts a request that is refused since no answer is expected in time. */
    void refusedEarly() {
        mMetrics.counter("gateway.waiting.refused_early").inc();
    }

    /**
     * Updates the metrics for a request that has ended.
     *
     * @param record the record of the request
     * @param outcome how the request ended
     * @param nowNanos the local monotonic time
     */
    private void count(RequestRecord record, String outcome, long nowNanos) {
        long arrived = record.request().arrivedNanos();
        mMetrics.counter("gateway.requests." + outcome).inc();
        mMetrics.timer("gateway.answer").update(nowNanos - arrived, TimeUnit.NANOSECONDS);
        for (RequestRecord.Step step : record.steps()) {
            mMetrics.counter("gateway.steps." + step.kind().text()).inc();
            if (step.kind() == StepKind.FIRST_EVENT) {
                long nanos = step.nanos() - arrived;
                mMetrics.timer("gateway.first_event").update(nanos, TimeUnit.NANOSECONDS);
            }
        }
    }

    /**
     * Returns the time since a request arrived.
     *
     * @param nanos the local monotonic time
     * @param request the request
     * @return the time in milliseconds, rounded to tenths
     */
    private static double millis(long nanos, GatewayRequest request) {
        return Math.round((nanos - request.arrivedNanos()) / NANOS_PER_MILLI * 10) / 10.0;
    }
}
