package org.magnoliaseam.operator;

import com.codahale.metrics.Counter;
import com.codahale.metrics.Gauge;
import com.codahale.metrics.Histogram;
import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.Snapshot;
import com.codahale.metrics.Timer;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/** Renders the metrics, one per line, as name and value. */
public final class MetricsPage implements OperatorPage {

    /** The metrics. */
    private final MetricRegistry mRegistry;

    /**
     * Creates a page.
     *
     * @param registry the metrics
     */
    public MetricsPage(MetricRegistry registry) {
        mRegistry = registry;
    }

    @Override
    public PageContent render(String rest, String query) {
        StringBuilder text = new StringBuilder();
        for (Map.Entry<String, Counter> entry : mRegistry.getCounters().entrySet()) {
            line(text, entry.getKey(), entry.getValue().getCount());
        }
        for (Map.Entry<String, Gauge> entry : mRegistry.getGauges().entrySet()) {
            line(text, entry.getKey(), entry.getValue().getValue());
        }
        for (Map.Entry<String, Timer> entry : mRegistry.getTimers().entrySet()) {
            timer(text, entry.getKey(), entry.getValue());
        }
        for (Map.Entry<String, Histogram> entry : mRegistry.getHistograms().entrySet()) {
            histogram(text, entry.getKey(), entry.getValue());
        }
        return PageContent.plain(text.toString());
    }

    /**
     * Adds the lines of a timer.
     *
     * @param text collects the lines
     * @param name the name
     * @param timer the timer
     */
    private static void timer(StringBuilder text, String name, Timer timer) {
        Snapshot snapshot = timer.getSnapshot();
        line(text, name + ".count", timer.getCount());
        line(text, name + ".p50_millis", millis(snapshot.getMedian()));
        line(text, name + ".p99_millis", millis(snapshot.get99thPercentile()));
    }

    /**
     * Adds the lines of a histogram.
     *
     * @param text collects the lines
     * @param name the name
     * @param histogram the histogram
     */
    private static void histogram(StringBuilder text, String name, Histogram histogram) {
        Snapshot snapshot = histogram.getSnapshot();
        line(text, name + ".count", histogram.getCount());
        line(text, name + ".p50", snapshot.getMedian());
        line(text, name + ".p99", snapshot.get99thPercentile());
    }

    /**
     * Adds a line.
     *
     * @param text collects the lines
     * @param name the name
     * @param value the value
     */
    private static void line(StringBuilder text, String name, Object value) {
        text.append(name).append(' ').append(value).append('\n');
    }

    /**
     * Converts a time.
     *
     * @param nanos the time in nanoseconds
     * @return the time in milliseconds
     */
    private static double millis(double nanos) {
        return nanos / TimeUnit.MILLISECONDS.toNanos(1);
    }
}
