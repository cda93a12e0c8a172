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
 * Stands in for a backend server of the platform. The answer is a stream of events if the path
 * contains {@code /stream/}, and one JSON body otherwise.
 */
public final class ServerStandIn implements AutoCloseable {

    /** The number of events of a stream. */
    public static final int EVENTS = 6;

    /** The status if the request was meant for another server at the same address. */
    private static final int MISDIRECTED = 421;

    /** The status of a refusal unless another one is stated. */
    private static final int UNAVAILABLE = 503;

    /** Lists how a server handles requests. */
    public enum Mode {
        /** Answers normally. */
        SOUND,
        /** Refuses the request without running it. */
        REFUSE,
        /** Runs the request and resets the connection before the answer. */
        LOSE_ANSWER,
        /** Resets the connection in the middle of the third event of a stream. */
        CUT_STREAM,
        /** Runs the request and never answers. */
        MUTE,
        /** Sends an answer with the id of another request in the header. */
        FOREIGN
    }

    /** The id of the server. */
    private final String mId;

    /** The server. */
    private final StandInServer mServer;

    /** The time before an answer and between the events of a stream, in milliseconds. */
    private final long mDelayMillis;

    /** The executions of requests, in order. */
    private final List<Run> mRuns = new CopyOnWriteArrayList<>();

    /** The account and key of the last request that ran, in the form of {@link #lastHeaders()}. */
    private volatile String mLastHeaders = "";

    /** The requests that arrived, in order. */
    private final List<Arrival> mArrivals = new CopyOnWriteArrayList<>();

    /** How the server handles requests. */
    private volatile Mode mMode = Mode.SOUND;

    /** What the server states about itself. */
    private volatile StatedNotices mNotices = StatedNotices.NONE;

    /** The time of its start, which grows with each start, in Unix milliseconds. */
    private volatile long mStartMark = System.currentTimeMillis();

    /** The number of faults that keep the server silent. */
    private int mSilences;

    /** Completed unless the server is silent. */
    private CompletableFuture<Void> mHeard = CompletableFuture.completedFuture(null);

    /**
     * Records a request that arrived.
     *
     * @param request the id of the request
     * @param nanos the local monotonic time
     * @param notices what the answer states; nothing if it names another request, as it may then be
     *     the answer of another server
     */
    public record Arrival(String request, long nanos, StatedNotices notices) {}

    /**
     * Records the start of an execution.
     *
     * @param request the id of the request
     * @param nanos the local monotonic time
     */
    public record Run(String request, long nanos) {}

    /**
     * Starts a server that answers without delay.
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
     * @param delayMillis the time before an answer and between the events of a stream, in
     *     milliseconds
     * @throws Exception if the port cannot be opened
     */
    public ServerStandIn(String id, ListenAddress address, long delayMillis) throws Exception {
        mId = id;
        mDelayMillis = delayMillis;
        mServer = new StandInServer(address, this::receive).start();
    }

    /**
     * Changes how the server handles requests.
     *
     * @param mode the new mode
     */
    public void mode(Mode mode) {
        mMode = mode;
    }

    /**
     * Changes what the server states about itself in its answers.
     *
     * @param notices the new notices
     */
    public void state(StatedNotices notices) {
        mNotices = notices;
    }

    /**
     * Makes the server handle and send nothing. Connections stay open and nothing is lost.
     *
     * @return makes it go on where it was unless another call keeps it silent
     */
    public synchronized AutoCloseable fallSilent() {
        if (mSilences++ == 0) {
            mHeard = new CompletableFuture<>();
        }
        return this::endSilence;
    }

    /** Ends one fault that kept the server silent. */
    private synchronized void endSilence() {
        if (--mSilences == 0) {
            mHeard.complete(null);
        }
    }

    /**
     * Runs a step at once, or when the server is no longer silent.
     *
     * @param step the step
     */
    private void whenHeard(Runnable step) {
        CompletableFuture<Void> heard;
        synchronized (this) {
            heard = mHeard;
        }
        if (heard.isDone()) {
            step.run();
        } else {
            heard.thenRunAsync(step);
        }
    }

    /** Makes the next entry the one of a later start under the same id. */
    public void startAgain() {
        mStartMark = Math.max(mStartMark + 1, System.currentTimeMillis());
    }

    /**
     * Returns the requests that arrived, also those that were refused.
     *
     * @return the requests in order
     */
    public List<Arrival> arrivals() {
        return mArrivals;
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
     * Returns the requests that ran and the times of their starts.
     *
     * @return the starts in order
     */
    public List<Run> starts() {
        return mRuns;
    }

    /**
     * Returns the HTTP server, in which tests inject faults.
     *
     * @return the server
     */
    public StandInServer server() {
        return mServer;
    }

    /**
     * Returns the account and key of the last request that ran.
     *
     * @return {@code account=ACCOUNT,key=KEY}
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
                        + "\"slots\":8,\"state\":\"%s\",\"cold_remaining_ms\":0,\"born\":%d,"
                        + "\"sequence\":1}")
                .formatted(service, address.host(), address.port(), domain, state, mStartMark);
    }

    @Override
    public void close() throws Exception {
        mServer.close();
    }

    /**
     * Answers a request when the server is not silent.
     *
     * @param exchange the request
     */
    private void receive(HttpExchange exchange) {
        whenHeard(() -> handle(exchange));
    }

    /**
     * Answers a request.
     *
     * @param exchange the request
     */
    private void handle(HttpExchange exchange) {
        String id = exchange.header("X-Request-Id").orElse("");
        boolean foreign = mMode == Mode.FOREIGN;
        exchange.with("X-Request-Id", foreign ? "other" : id);
        if (!exchange.header("X-Target-Instance").orElse(mId).equals(mId)) {
            exchange.empty(MISDIRECTED);
            return;
        }
        StatedNotices notices = mNotices;
        StatedNotices stated = foreign ? StatedNotices.NONE : notices;
        mArrivals.add(new Arrival(id, System.nanoTime(), stated));
        notices.addTo(exchange);
        if (mMode == Mode.REFUSE || notices.refusal() > 0) {
            int status = notices.refusal() > 0 ? notices.refusal() : UNAVAILABLE;
            exchange.with("X-Not-Executed", "1").empty(status);
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
            schedule(() -> event(exchange, last + 1));
        } else if (mMode != Mode.MUTE) {
            schedule(() -> exchange.json(200, Map.of("server", mId, "request", id)));
        }
    }

    /**
     * Runs the next step of an answer after the delay of the server.
     *
     * @param step the step
     */
    private void schedule(Runnable step) {
        if (mDelayMillis == 0) {
            whenHeard(step);
        } else {
            CompletableFuture.delayedExecutor(mDelayMillis, TimeUnit.MILLISECONDS)
                    .execute(() -> whenHeard(step));
        }
    }

    /**
     * Writes an event of a stream and then the events that follow it.
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
                        schedule(() -> event(exchange, number + 1));
                    }
                });
    }
}
