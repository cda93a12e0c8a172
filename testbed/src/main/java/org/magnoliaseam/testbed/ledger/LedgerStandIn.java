package org.magnoliaseam.testbed.ledger;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.UUID;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.magnoliaseam.testbed.http.HttpExchange;
import org.magnoliaseam.testbed.http.Json;
import org.magnoliaseam.testbed.http.RequestHandler;

/** Runs orders, counts each run by key and answers after a delay. */
public final class LedgerStandIn implements RequestHandler, AutoCloseable {

    /** The name in the answers. */
    private final String mName;

    /** The identifier of this run of the server. */
    private final String mStartId = UUID.randomUUID().toString();

    /** The recorded runs. */
    private final LedgerRuns mRuns = new LedgerRuns();

    /** The number of orders that are running. */
    private final AtomicInteger mRunning = new AtomicInteger();

    /** The number of next orders to reset without running them. */
    private final AtomicInteger mResetBefore = new AtomicInteger();

    /** The number of next orders to run and then reset without an answer. */
    private final AtomicInteger mResetAfterRun = new AtomicInteger();

    /** The timer for answers. */
    private final ScheduledExecutorService mTimer = Executors.newSingleThreadScheduledExecutor();

    /** The milliseconds from the start of an order to its answer. */
    private volatile long mDelayMillis;

    /** Whether the server takes no new orders. */
    private volatile boolean mLeaving;

    /**
     * Creates a stand-in.
     *
     * @param name the name in the answers
     * @param delayMillis the milliseconds from the start of an order to its answer
     */
    public LedgerStandIn(String name, long delayMillis) {
        mName = name;
        mDelayMillis = delayMillis;
    }

    @Override
    public void handle(HttpExchange exchange) {
        exchange.with("X-Start-Id", mStartId);
        exchange.header("X-Request-Id").ifPresent(id -> exchange.with("X-Request-Id", id));
        switch (exchange.route()) {
            case "POST /releases", "POST /enrolments" -> run(exchange);
            case "GET /load" -> exchange.json(200, new Load(mStartId, mRunning.get(), 0, mLeaving));
            case "POST /test/control" -> control(exchange);
            case "GET /test/runs" -> exchange.json(200, mRuns.list());
            default -> lookUp(exchange);
        }
    }

    @Override
    public void close() {
        mTimer.shutdownNow();
    }

    /**
     * Runs an order.
     *
     * @param exchange the order
     */
    private void run(HttpExchange exchange) {
        if (mLeaving) {
            exchange.with("X-Started", "no").empty(503);
            return;
        }
        if (takePending(mResetBefore)) {
            exchange.reset();
            return;
        }
        JsonNode key = Json.tree(exchange.body()).path("key");
        if (!key.isTextual()) {
            throw new IllegalArgumentException("The order has no textual key");
        }
        mRunning.incrementAndGet();
        int run = mRuns.run(key.asText(), System.currentTimeMillis());
        boolean reset = takePending(mResetAfterRun);
        mTimer.schedule(
                () -> {
                    mRunning.decrementAndGet();
                    if (reset) {
                        exchange.reset();
                    } else {
                        exchange.json(200, new RunAnswer(key.asText(), run, mName));
                    }
                },
                mDelayMillis,
                TimeUnit.MILLISECONDS);
    }

    /**
     * Looks up an order.
     *
     * @param exchange the call
     */
    private void lookUp(HttpExchange exchange) {
        String path = exchange.path();
        if (!path.startsWith("/releases/") && !path.startsWith("/enrolments/")) {
            exchange.empty(404);
            return;
        }
        String key = path.substring(path.indexOf('/', 1) + 1);
        exchange.json(200, new RunAnswer(key, mRuns.count(key), mName));
    }

    /**
     * Changes the behaviour of the server.
     *
     * @param exchange the call of the test
     */
    private void control(HttpExchange exchange) {
        Control control = Json.read(exchange.body(), Control.class);
        if (control.delayMillis() != null) {
            mDelayMillis = control.delayMillis();
        }
        if (control.leaving() != null) {
            mLeaving = control.leaving();
        }
        if (control.resetBefore() != null) {
            mResetBefore.set(control.resetBefore());
        }
        if (control.resetAfterRun() != null) {
            mResetAfterRun.set(control.resetAfterRun());
        }
        exchange.empty(204);
    }

    /**
     * Decrements a count of pending faults.
     *
     * @param pending the count
     * @return whether the count was above zero
     */
    private static boolean takePending(AtomicInteger pending) {
        return pending.getAndUpdate(count -> Math.max(0, count - 1)) > 0;
    }

    /**
     * Requests changes of the behaviour; null components leave a setting unchanged.
     *
     * @param delayMillis the milliseconds from the start of an order to its answer
     * @param leaving whether the server takes no new orders
     * @param resetBefore the number of next orders to reset without running them
     * @param resetAfterRun the number of next orders to run and then reset without an answer
     */
    public record Control(
            Long delayMillis, Boolean leaving, Integer resetBefore, Integer resetAfterRun) {}

    /**
     * Holds the answer to an order or a look-up.
     *
     * @param key the key of the order
     * @param run the number of runs of the key
     * @param server the name of the server
     */
    public record RunAnswer(String key, int run, String server) {}

    /**
     * Reports the load.
     *
     * @param startId the identifier of this run of the server
     * @param running the orders that are running
     * @param queued the orders that wait
     * @param leaving whether the server takes no new orders
     */
    public record Load(String startId, int running, int queued, boolean leaving) {}
}
