package org.magnoliaseam.testbed.engine;

import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import org.magnoliaseam.testbed.http.HttpExchange;
import org.magnoliaseam.testbed.http.Json;
import org.magnoliaseam.testbed.http.ListenAddress;
import org.magnoliaseam.testbed.http.RequestHandler;
import org.magnoliaseam.testbed.http.StandInServer;

/** Serves the protocol of a model engine; one thread runs the engine. */
public final class EngineStandIn implements RequestHandler, AutoCloseable {

    /** The path prefix of cancellations. */
    private static final String CANCEL_PATH = "/v1/cancel/";

    /** The source of answers. */
    private final EngineAnswers mAnswers;

    /** The thread that runs the engine. */
    private final ScheduledExecutorService mLoop = Executors.newSingleThreadScheduledExecutor();

    /** The network side of the engine. */
    private final EngineProcess mProcess = new EngineProcess();

    /** The engine; only the loop uses it. */
    private final Engine mEngine;

    /** The server. */
    private final StandInServer mServer;

    /**
     * Creates an engine.
     *
     * @param address the address to listen on
     * @param settings the fixed properties
     * @param answers the source of answers
     * @param seed the seed of the variation of times
     * @param reportLagMillis the lag of load reports in milliseconds
     */
    public EngineStandIn(
            ListenAddress address,
            EngineSettings settings,
            EngineAnswers answers,
            long seed,
            long reportLagMillis) {
        mAnswers = answers;
        mEngine = new Engine(settings, mLoop, mProcess, seed, reportLagMillis);
        mServer = new StandInServer(address, this);
        mProcess.attach(mServer);
    }

    /**
     * Returns the server that the engine listens with.
     *
     * @return the server
     */
    public StandInServer server() {
        return mServer;
    }

    @Override
    public void handle(HttpExchange exchange) {
        String route = exchange.route();
        if (route.startsWith("POST " + CANCEL_PATH)) {
            String id = exchange.path().substring(CANCEL_PATH.length());
            mLoop.execute(() -> cancel(exchange, id));
            return;
        }
        switch (route) {
            case "POST /v1/chat/completions" -> accept(exchange);
            case "GET /load" -> mLoop.execute(() -> exchange.json(200, mEngine.reportedLoad()));
            case "POST /test/control" -> control(exchange);
            case "GET /test/stats" -> mLoop.execute(() -> exchange.json(200, mEngine.counts()));
            case "GET /test/starts" -> reportStarts(exchange);
            default -> exchange.empty(404);
        }
    }

    @Override
    public void close() throws Exception {
        mServer.close();
        mProcess.close();
        mLoop.shutdownNow();
    }

    /**
     * Passes a chat request to the engine.
     *
     * @param exchange the request
     */
    private void accept(HttpExchange exchange) {
        EngineRequest request = EngineRequest.read(exchange, mAnswers);
        mLoop.execute(() -> mEngine.accept(request, exchange));
    }

    /**
     * Cancels a request.
     *
     * @param exchange the cancellation
     * @param id the request
     */
    private void cancel(HttpExchange exchange, String id) {
        mEngine.cancel(id);
        exchange.empty(204);
    }

    /**
     * Changes the engine.
     *
     * @param exchange the call of the test
     */
    private void control(HttpExchange exchange) {
        EngineControl control = Json.read(exchange.body(), EngineControl.class);
        mLoop.execute(
                () -> {
                    exchange.empty(204);
                    mEngine.control(control);
                });
    }

    /**
     * Reports the accepted requests from a time on.
     *
     * @param exchange the call of the test
     */
    private void reportStarts(HttpExchange exchange) {
        long sinceMillis = exchange.number("sinceMillis", 0);
        mLoop.execute(() -> exchange.json(200, mEngine.startsSince(sinceMillis)));
    }
}
