package org.magnoliaseam.testbed.store;

import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import org.magnoliaseam.testbed.http.HttpExchange;
import org.magnoliaseam.testbed.http.ListenAddress;
import org.magnoliaseam.testbed.http.StandInServer;

/**
 * Stands in for a backend server of the platform. A path with {@code /stream/} answers with events,
 * any other with one body.
 */
public final class ServerStandIn implements AutoCloseable {

    /** The events of a stream. */
    public static final int EVENTS = 6;

    /** The status of a server at whose address another one is expected. */
    private static final int MISDIRECTED = 421;

    /** Lists what a server does with requests. */
    public enum Mode {
        /** Answers. */
        SOUND,
        /** Refuses before the start. */
        REFUSE,
        /** Runs the request and resets the connection before the answer. */
        LOSE_ANSWER,
        /** Resets the connection inside the third event of a stream. */
        CUT_STREAM,
        /** Runs the request and never answers. */
        MUTE,
        /** Answers for another request. */
        FOREIGN
    }

    /** The id of the server. */
    private final String mId;

    /** The server. */
    private final StandInServer mServer;

    /** The time before an answer and between the events of a stream, in milliseconds. */
    private final long mPaceMillis;

    /** The requests that ran, in order. */
    private final List<Run> mRuns = new CopyOnWriteArrayList<>();

    /** The names of the header fields of the last request. */
    private volatile String mLastHeaders = "";

    /** What the server does. */
    private volatile Mode mMode = Mode.SOUND;

    /**
     * Holds the start of a request.
     *
     * @param request the id of the request
     * @param nanos the local monotonic time
     */
    public record Run(String request, long nanos) {}

    /**
     * Starts a server that answers at once.
     *
     * @param id the id of the server
     * @param address the address to listen on
     * @throws Exception if the port cannot be opened
     */
    public ServerStandIn(String id, ListenAddress address) throws Exception {
        this(id, address, 0);
    }

    /**
     * Starts a server.
     *
     * @param id the id of the server
     * @param address the address to listen on
     * @param paceMillis the time before an answer and between the events of a stream, in
     *     milliseconds
     * @throws Exception if the port cannot be opened
     */
    public ServerStandIn(String id, ListenAddress address, long paceMillis) throws Exception {
        mId = id;
        mPaceMillis = paceMillis;
        mServer = new StandInServer(address, this::handle).start();
    }

    /**
     * Changes what the server does.
     *
     * @param mode what it does from now on
     */
    public void mode(Mode mode) {
        mMode = mode;
    }

    /**
     * Returns the requests that ran.
     *
     * @return their ids in order
     */
    public List<String> runs() {
        return mRuns.stream().map(Run::request).toList();
    }

    /**
     * Returns the requests that ran and when.
     *
     * @return the starts in order
     */
    public List<Run> starts() {
        return mRuns;
    }

    /**
     * Returns the server, for faults.
     *
     * @return the server
     */
    public StandInServer server() {
        return mServer;
    }

    /**
     * Returns what the last request carried.
     *
     * @return account and key as name=value, separated by commas
     */
    public String lastHeaders() {
        return mLastHeaders;
    }

    /**
     * Returns the entry for the store.
     *
     * @param service the service
     * @param domain the failure domain
     * @param state ready or draining
     * @return the JSON text
     */
    public String entry(String service, String domain, String state) {
        return entry(service, domain, state, mServer.address());
    }

    /**
     * Returns the entry for the store of a server behind a proxy.
     *
     * @param service the service
     * @param domain the failure domain
     * @param state ready or draining
     * @param address the address of the proxy
     * @return the JSON text
     */
    public String entry(String service, String domain, String state, ListenAddress address) {
        return ("{\"service\":\"%s\",\"address\":\"%s:%d\",\"zone\":\"%s\",\"version\":\"v1\","
                        + "\"slots\":8,\"state\":\"%s\",\"cold_remaining_ms\":0,\"sequence\":1}")
                .formatted(service, address.host(), address.port(), domain, state);
    }

    @Override
    public void close() throws Exception {
        mServer.close();
    }

    /**
     * Answers a request.
     *
     * @param exchange the request
     */
    private void handle(HttpExchange exchange) {
        String id = exchange.header("X-Request-Id").orElse("");
        exchange.with("X-Request-Id", mMode == Mode.FOREIGN ? "other" : id);
        if (!exchange.header("X-Target-Instance").orElse(mId).equals(mId)) {
            exchange.empty(MISDIRECTED);
            return;
        }
        if (mMode == Mode.REFUSE) {
            exchange.with("X-Not-Executed", "1").empty(503);
            return;
        }
        mLastHeaders =
                "account="
                        + exchange.header("X-Tenant").orElse("")
                        + ",key="
                        + exchange.header("Authorization").orElse("");
        mRuns.add(new Run(id, System.nanoTime()));
        exchange.with("X-Response-Signature", mId + "." + id);
        if (mMode == Mode.LOSE_ANSWER) {
            exchange.reset();
        } else if (mMode != Mode.MUTE && exchange.path().contains("/stream/")) {
            exchange.beginEvents();
            int last = exchange.header("Last-Event-Id").map(Integer::parseInt).orElse(0);
            later(() -> event(exchange, last + 1));
        } else if (mMode != Mode.MUTE) {
            later(() -> exchange.json(200, Map.of("server", mId, "request", id)));
        }
    }

    /**
     * Runs the next step of an answer at the pace of the server.
     *
     * @param step the step
     */
    private void later(Runnable step) {
        if (mPaceMillis == 0) {
            step.run();
        } else {
            CompletableFuture.delayedExecutor(mPaceMillis, TimeUnit.MILLISECONDS).execute(step);
        }
    }

    /**
     * Writes the events of a stream one after another.
     *
     * @param exchange the request
     * @param number the number of the next event
     */
    private void event(HttpExchange exchange, int number) {
        boolean cut = mMode == Mode.CUT_STREAM && number == EVENTS / 2;
        String text = "id: " + number + "\ndata: " + number + "\n\n";
        String sent = cut ? text.substring(0, text.length() - 2) : text;
        exchange.write(
                number == EVENTS && !cut,
                sent,
                failure -> {
                    if (cut) {
                        exchange.reset();
                    } else if (failure == null && number < EVENTS) {
                        later(() -> event(exchange, number + 1));
                    }
                });
    }
}
