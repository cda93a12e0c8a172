package org.magnoliaseam.backend;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.nio.charset.StandardCharsets;
import java.util.Collection;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import org.eclipse.jetty.client.BufferingResponseListener;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.Result;
import org.eclipse.jetty.http.HttpStatus;
import org.magnoliaseam.fleet.LoadReport;
import org.magnoliaseam.model.BackendServerId;
import org.magnoliaseam.model.StartId;
import org.magnoliaseam.settings.BackendServer;
import org.magnoliaseam.time.MonotonicClock;

/** Polls the load reports of backend servers. */
public final class LoadPoller {

    /** The interval between two rounds of polling, in milliseconds. */
    public static final long INTERVAL_MILLIS = 500;

    /** The time limit for reading a report, in milliseconds. */
    private static final long TIMEOUT_MILLIS = 1000;

    /** The largest accepted report, in bytes. */
    private static final int MAX_REPORT_BYTES = 64 * 1024;

    /** Parses JSON. */
    private static final ObjectMapper MAPPER = new ObjectMapper();

    /** The HTTP client. */
    private final HttpClient mClient;

    /** The clock. */
    private final MonotonicClock mClock;

    /** Receives the reports. */
    private final LoadListener mListener;

    /** The servers whose report is being read. */
    private final Set<BackendServerId> mReading = ConcurrentHashMap.newKeySet();

    /**
     * Creates a poller.
     *
     * @param client the started HTTP client
     * @param clock the clock
     * @param listener receives the reports
     */
    public LoadPoller(HttpClient client, MonotonicClock clock, LoadListener listener) {
        mClient = client;
        mClock = clock;
        mListener = listener;
    }

    /**
     * Starts to read the report of each server, except those whose last read is still in progress.
     *
     * @param servers the servers
     */
    public void poll(Collection<BackendServer> servers) {
        for (BackendServer server : servers) {
            if (mReading.add(server.id())) {
                read(server);
            }
        }
    }

    /**
     * Starts to read one report.
     *
     * @param server the server
     */
    private void read(BackendServer server) {
        AtomicBoolean connected = new AtomicBoolean();
        mClient.newRequest(server.address().resolve("/load"))
                .timeout(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)
                .onRequestBegin(request -> connected.set(true))
                .send(
                        new BufferingResponseListener(MAX_REPORT_BYTES) {
                            @Override
                            public void onComplete(Result result) {
                                mReading.remove(server.id());
                                String body = getContentAsString(StandardCharsets.UTF_8);
                                completed(server.id(), result, body, connected.get());
                            }
                        });
    }

    /**
     * Handles the end of a read.
     *
     * @param id the server
     * @param result the outcome
     * @param body the body of the response
     * @param connected whether a connection was made
     */
    private void completed(BackendServerId id, Result result, String body, boolean connected) {
        if (result.isFailed()) {
            if (!connected) {
                mListener.unreachable(id);
            }
            return;
        }
        if (result.getResponse().getStatus() != HttpStatus.OK_200) {
            return;
        }
        try {
            JsonNode root = MAPPER.readTree(body);
            mListener.reported(
                    id,
                    new LoadReport(
                            new StartId(root.path("startId").asText()),
                            root.path("running").asInt(),
                            root.path("queued").asInt(),
                            root.path("leaving").asBoolean(),
                            mClock.nanos()));
        } catch (JsonProcessingException e) {
            mListener.unreachable(id);
        }
    }
}
