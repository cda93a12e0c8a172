package org.magnoliaseam.testbed.soak;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/** Sends requests of each kind to each entry VM over persistent connections until it is closed. */
final class SoakCallers implements AutoCloseable {

    /** The paths of the permanent routes. */
    static final List<String> PATHS =
            List.of("/lookup/x", "/pay/x", "/steps/stream/x", "/pay/y", "/tale/stream/x");

    /** The number of callers of each entry VM. */
    private static final int CALLERS = 3;

    /** The pause between two requests of a caller in milliseconds. */
    private static final long PAUSE_MILLIS = 12;

    /** The time that a caller waits for an answer in milliseconds. */
    private static final long DEADLINE_MILLIS = 2500;

    /** The time that a caller waits beyond the deadline, in milliseconds. */
    private static final long EXTRA_WAIT_MILLIS = 5000;

    /** The system under test. */
    private final SoakSite mSite;

    /** The calls that have ended. */
    private final ConcurrentLinkedQueue<SoakCall> mCalls = new ConcurrentLinkedQueue<>();

    /** Numbers the requests. */
    private final AtomicInteger mNumber = new AtomicInteger();

    /** The threads of the callers. */
    private final List<Thread> mThreads = new ArrayList<>();

    /** Whether the callers should end. */
    private volatile boolean mEnded;

    /**
     * Starts the callers.
     *
     * @param site the system under test
     */
    SoakCallers(SoakSite site) {
        mSite = site;
        for (int router = 0; router < site.routers().size(); router++) {
            for (int caller = 0; caller < CALLERS; caller++) {
                int number = router;
                boolean probe = caller == 0;
                Thread thread = new Thread(() -> run(number, probe), "caller");
                thread.setDaemon(true);
                mThreads.add(thread);
                thread.start();
            }
        }
    }

    /**
     * Returns the observations of the callers.
     *
     * @return the calls that have ended
     */
    Collection<SoakCall> calls() {
        return mCalls;
    }

    @Override
    public void close() throws InterruptedException {
        mEnded = true;
        for (Thread thread : mThreads) {
            thread.join(2 * EXTRA_WAIT_MILLIS);
        }
    }

    /**
     * Sends one request after another.
     *
     * @param router the number of the entry VM
     * @param probe whether to request the routes of single versions as well
     */
    private void run(int router, boolean probe) {
        HttpClient client =
                HttpClient.newBuilder()
                        .version(HttpClient.Version.HTTP_1_1)
                        .connectTimeout(Duration.ofSeconds(1))
                        .build();
        try {
            for (int i = router; !mEnded; i++) {
                String path = PATHS.get(i % PATHS.size());
                List<SoakSite.Published> versions = mSite.versions();
                int last = versions.size() - 1;
                if (probe && i % 2 == 0) {
                    path = "/v" + versions.get(last).version() + "/x";
                } else if (probe && last > 0) {
                    path = "/v" + versions.get(last - 1).version() + "/x";
                }
                mCalls.add(call(client, router, path));
                TimeUnit.MILLISECONDS.sleep(PAUSE_MILLIS);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /**
     * Sends a request and reads its answer.
     *
     * @param client the client with its persistent connection
     * @param router the number of the entry VM
     * @param path the path
     * @return the observations of the caller
     * @throws InterruptedException if the thread was interrupted
     */
    SoakCall call(HttpClient client, int router, String path) throws InterruptedException {
        SoakRouter entry = mSite.router(router);
        String id = "r" + router + "-" + mNumber.incrementAndGet();
        int process = entry.starts();
        long begin = System.nanoTime();
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        int status = 0;
        boolean whole = false;
        try {
            HttpResponse<InputStream> answer =
                    client.send(
                            request(entry, id, path), HttpResponse.BodyHandlers.ofInputStream());
            status = answer.statusCode();
            try (InputStream in = answer.body()) {
                in.transferTo(body);
            }
            whole = true;
        } catch (IOException e) {
            whole = false;
        }
        String text = body.toString(StandardCharsets.UTF_8);
        return new SoakCall(
                id, router, process, path, begin, System.nanoTime(), status, whole, text);
    }

    /**
     * Creates a request.
     *
     * @param entry the entry VM
     * @param id the id of the request
     * @param path the path
     * @return the request
     */
    private static HttpRequest request(SoakRouter entry, String id, String path) {
        String method = path.startsWith("/lookup/") || path.startsWith("/v") ? "GET" : "POST";
        String body = "GET".equals(method) ? "" : "{}";
        return HttpRequest.newBuilder(URI.create("http://" + entry.callers() + path))
                .method(method, HttpRequest.BodyPublishers.ofString(body))
                .timeout(Duration.ofMillis(DEADLINE_MILLIS + EXTRA_WAIT_MILLIS))
                .header("X-Request-Id", id)
                .header("X-Deadline-Ms", Long.toString(DEADLINE_MILLIS))
                .header("Authorization", "Bearer key-1")
                .build();
    }
}
