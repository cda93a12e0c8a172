package org.magnoliaseam.platform;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.Base64;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/** Stands in for a metadata store that holds one configuration and fails for some time. */
final class FaultyStore {

    /** Lists how the store fails. */
    enum Fault {
        NONE,
        /** Calls get no response, also after the end of the fault. */
        SILENT,
        /** Calls get status 503. */
        BUSY,
        /** Calls get status 429. */
        LIMITED,
        /** Connections are closed without a response. */
        RESET,
        /** Responses take a second. */
        SLOW,
        /** Calls that are open at the begin of the fault get no response; later calls do. */
        STALLED
    }

    private static final String CONFIGURATION =
            "{\"version\":%d,\"routes\":[],\"services\":[],\"limits\":{},\"tenants\":[]}";

    private static final long SLOW_MILLIS = 1000;

    private static final long STEP_MILLIS = 5;

    private final HttpServer mServer;

    private final AtomicInteger mCalls = new AtomicInteger();

    private volatile Fault mFault = Fault.NONE;

    private volatile int mFaults;

    private volatile int mVersion = 1;

    FaultyStore(ExecutorService threads) throws IOException {
        mServer = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 0);
        mServer.setExecutor(threads);
        mServer.createContext("/-/kv-range", exchange -> serve(exchange, false));
        mServer.createContext("/-/kv-watch", exchange -> serve(exchange, true));
        mServer.start();
    }

    InetSocketAddress address() {
        return mServer.getAddress();
    }

    void stop() {
        mServer.stop(0);
    }

    void fail(Fault fault) {
        mFaults++;
        mFault = fault;
    }

    void recover() {
        mFault = Fault.NONE;
    }

    void publish(int version) {
        mVersion = version;
    }

    /** Returns the number of calls so far. */
    int calls() {
        return mCalls.get();
    }

    private void serve(HttpExchange exchange, boolean watch) throws IOException {
        mCalls.incrementAndGet();
        try {
            respond(exchange, watch);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void respond(HttpExchange exchange, boolean watch)
            throws IOException, InterruptedException {
        int faults = mFaults;
        if (mFault == Fault.SILENT) {
            TimeUnit.DAYS.sleep(1);
        }
        if (watch) {
            await(exchange, faults);
        }
        switch (mFault) {
            case BUSY -> refuse(exchange, 503);
            case LIMITED -> refuse(exchange, 429);
            case RESET -> exchange.close();
            case SLOW -> {
                TimeUnit.MILLISECONDS.sleep(SLOW_MILLIS);
                answer(exchange, watch);
            }
            default -> answer(exchange, watch);
        }
    }

    /** Waits as a watch does; a watch that is open when the store fails does not end before. */
    private void await(HttpExchange exchange, int faults) throws InterruptedException {
        long after = parameter(exchange, "after");
        long wait = parameter(exchange, "wait_ms");
        for (long waited = 0; waited < wait && after >= revision(); waited += STEP_MILLIS) {
            TimeUnit.MILLISECONDS.sleep(STEP_MILLIS);
            if (mFaults != faults && (mFault == Fault.SILENT || mFault == Fault.STALLED)) {
                TimeUnit.DAYS.sleep(1);
            }
        }
    }

    private int revision() {
        return 10 + mVersion;
    }

    private void answer(HttpExchange exchange, boolean watch) throws IOException {
        int version = mVersion;
        boolean listed = !watch || parameter(exchange, "after") < 10 + version;
        byte[] value = CONFIGURATION.formatted(version).getBytes(StandardCharsets.UTF_8);
        String item =
                "{\"key\":\"op/config\",\"value\":\"%s\",\"revision\":%d}"
                        .formatted(Base64.getEncoder().encodeToString(value), 10 + version);
        String body =
                "{\"%s\":[%s],\"store_revision\":%d}"
                        .formatted(watch ? "events" : "items", listed ? item : "", 10 + version);
        send(exchange, 200, body);
    }

    private static void refuse(HttpExchange exchange, int status) throws IOException {
        send(exchange, status, "{}");
    }

    private static void send(HttpExchange exchange, int status, String body) throws IOException {
        byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
        exchange.sendResponseHeaders(status, bytes.length);
        exchange.getResponseBody().write(bytes);
        exchange.close();
    }

    private static long parameter(HttpExchange exchange, String name) {
        String query = exchange.getRequestURI().getQuery();
        return Long.parseLong(query.replaceAll(".*\\b" + name + "=(\\d+).*", "$1"));
    }
}
