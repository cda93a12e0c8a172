package org.magnoliaseam.testbed.platform;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.magnoliaseam.testbed.http.HttpExchange;
import org.magnoliaseam.testbed.http.Json;
import org.magnoliaseam.testbed.http.RequestHandler;

/** Serves the platform's protocol with long polling and lets tests inject faults. */
public final class PlatformStandIn implements RequestHandler, AutoCloseable {

    /** The interval in milliseconds at which waiting watches are checked. */
    private static final long CHECK_INTERVAL_MILLIS = 5;

    /** The key of the mode for readers without a mode of their own. */
    private static final String ALL_READERS = "";

    /** The published values. */
    private final PublishedValues mValues;

    /** The counter of the readers' calls. */
    private final CallCounter mCalls = new CallCounter();

    /** The modes by the address that a reader names in its Host field. */
    private final Map<String, PlatformMode> mModes = new ConcurrentHashMap<>();

    /** The waiting watches, guarded by their own lock. */
    private final List<Watch> mWatches = new ArrayList<>();

    /** The timer that checks waiting watches. */
    private final ScheduledExecutorService mTimer = Executors.newSingleThreadScheduledExecutor();

    /**
     * Creates a stand-in.
     *
     * @param values the published values
     */
    public PlatformStandIn(PublishedValues values) {
        mValues = values;
        mTimer.scheduleAtFixedRate(
                this::checkWatches,
                CHECK_INTERVAL_MILLIS,
                CHECK_INTERVAL_MILLIS,
                TimeUnit.MILLISECONDS);
    }

    @Override
    public void handle(HttpExchange exchange) {
        switch (exchange.route()) {
            case "GET /v1/configuration" -> read(exchange, ValueKind.CONFIGURATION);
            case "GET /v1/vms" -> read(exchange, ValueKind.VMS);
            case "POST /test/configuration" -> publish(exchange, ValueKind.CONFIGURATION);
            case "POST /test/vms" -> publish(exchange, ValueKind.VMS);
            case "POST /test/mode" -> changeMode(exchange);
            case "GET /test/stats" -> exchange.json(200, mCalls.counts());
            default -> exchange.empty(404);
        }
    }

    @Override
    public void close() {
        mTimer.shutdownNow();
    }

    /**
     * Answers a reader or keeps its call until there is a newer value.
     *
     * @param exchange the reader's call
     * @param kind the kind of value
     */
    private void read(HttpExchange exchange, ValueKind kind) {
        long nowMillis = System.currentTimeMillis();
        mCalls.count(nowMillis);
        Watch watch =
                new Watch(
                        exchange,
                        kind,
                        required(exchange, "site"),
                        exchange.number("newerThan", -1),
                        nowMillis + TimeUnit.SECONDS.toMillis(exchange.number("waitSeconds", 0)));
        if (!answer(watch, nowMillis)) {
            synchronized (mWatches) {
                mWatches.add(watch);
            }
        }
    }

    /**
     * Answers a watch if there is a newer value, its deadline has passed or the platform is down.
     *
     * @param watch the watch
     * @param nowMillis the current time in milliseconds since the epoch
     * @return whether the watch is answered
     */
    private boolean answer(Watch watch, long nowMillis) {
        PlatformMode mode = mode(watch.exchange());
        if (mode.kind() == PlatformMode.Kind.DOWN) {
            watch.exchange().close();
            return true;
        }
        String own = seriesFor(watch.site(), watch.exchange().header("Host").orElse(ALL_READERS));
        String series = mValues.has(own, watch.kind()) ? own : watch.site();
        Optional<JsonNode> value =
                mValues.visible(
                        series, watch.kind(), mode.shownMillis(nowMillis), watch.newerThan());
        if (value.isPresent()) {
            watch.exchange().json(200, value.get());
            return true;
        }
        if (nowMillis >= watch.deadlineMillis()) {
            watch.exchange().empty(304);
            return true;
        }
        return false;
    }

    /** Answers every waiting watch that is due. */
    private void checkWatches() {
        long nowMillis = System.currentTimeMillis();
        synchronized (mWatches) {
            for (Iterator<Watch> watches = mWatches.iterator(); watches.hasNext(); ) {
                if (answer(watches.next(), nowMillis)) {
                    watches.remove();
                }
            }
        }
    }

    /**
     * Returns the mode for a reader.
     *
     * @param exchange the reader's call
     * @return the mode
     */
    private PlatformMode mode(HttpExchange exchange) {
        PlatformMode common = mModes.getOrDefault(ALL_READERS, PlatformMode.NORMAL);
        return mModes.getOrDefault(exchange.header("Host").orElse(ALL_READERS), common);
    }

    /**
     * Publishes a value. The parameter {@code forAddress} limits it to readers that name this
     * address in their Host field.
     *
     * @param exchange the call of the test
     * @param kind the kind of value
     */
    private void publish(HttpExchange exchange, ValueKind kind) {
        JsonNode value = Json.tree(exchange.body());
        String site = required(exchange, "site");
        String series = exchange.query("forAddress").map(a -> seriesFor(site, a)).orElse(site);
        mValues.publish(series, kind, value, System.currentTimeMillis());
        exchange.empty(204);
    }

    /**
     * Changes the mode for all readers or for those that name one address.
     *
     * @param exchange the call of the test
     */
    private void changeMode(HttpExchange exchange) {
        ModeChange change = Json.read(exchange.body(), ModeChange.class);
        long lagMillis = change.lagMillis() == null ? 0 : change.lagMillis();
        mModes.put(
                change.forAddress() == null ? ALL_READERS : change.forAddress(),
                PlatformMode.of(change.mode(), System.currentTimeMillis(), lagMillis));
        exchange.empty(204);
    }

    /**
     * Returns the name of the series of values for the readers that name one address.
     *
     * @param site the site
     * @param address the address as readers name it
     * @return the name of the series
     */
    private static String seriesFor(String site, String address) {
        return site + "@" + address;
    }

    /**
     * Returns a parameter that must be present.
     *
     * @param exchange the call
     * @param name the name of the parameter
     * @return the value
     */
    private static String required(HttpExchange exchange, String name) {
        return exchange.query(name)
                .orElseThrow(() -> new IllegalArgumentException("Missing parameter " + name));
    }

    /**
     * Requests a change of the mode.
     *
     * @param mode the name of the mode
     * @param lagMillis the lag of a lagging platform in milliseconds, or null for 0
     * @param forAddress the address, as readers name it, that the mode is for, or null for all
     *     readers
     */
    public record ModeChange(String mode, Long lagMillis, String forAddress) {}

    /**
     * Holds a waiting call.
     *
     * @param exchange the call
     * @param kind the kind of value
     * @param site the site
     * @param newerThan the version that the reader has
     * @param deadlineMillis the time in milliseconds since the epoch at which the call is answered
     *     without a value
     */
    private record Watch(
            HttpExchange exchange,
            ValueKind kind,
            String site,
            long newerThan,
            long deadlineMillis) {}
}
