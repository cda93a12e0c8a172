package org.magnoliaseam.testbed.proof;

import static org.awaitility.Awaitility.await;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.time.Duration;
import java.util.List;
import java.util.Locale;
import org.magnoliaseam.testbed.harness.ManagedProcess;
import org.magnoliaseam.testbed.harness.Ports;
import org.magnoliaseam.testbed.harness.Signal;
import org.magnoliaseam.testbed.http.ListenAddress;
import org.magnoliaseam.testbed.raw.RawMessage;
import org.magnoliaseam.testbed.raw.RawReader;
import org.magnoliaseam.testbed.raw.RawServer;
import org.magnoliaseam.testbed.store.StoreStandIn;

/** Runs one router process between a store stand-in and raw servers. */
public final class RawSite implements AutoCloseable {

    private static final Duration TIMEOUT = Duration.ofSeconds(15);

    private static final int READ_MILLIS = 12_000;

    private final ListenAddress mCallers = Ports.free();

    private final ListenAddress mReadiness = Ports.free();

    private final StoreStandIn mStore = new StoreStandIn(Ports.free());

    private final Path mFolder;

    private final String mJavaOptions;

    private ManagedProcess mRouter;

    private int mVersion;

    public RawSite(Path folder, String javaOptions) throws Exception {
        mFolder = folder;
        mJavaOptions = javaOptions;
    }

    /** Returns a route of the host of this site. */
    public static String route(
            String service, String prefix, String kind, long timeoutMillis, int attempts) {
        return String.format(
                Locale.ROOT,
                "{\"name\":\"%s\",\"host\":\"site.example\",\"prefix\":\"%s\",\"kind\":\"%s\","
                        + "\"timeout_ms\":%d,\"target_latency_ms\":300,\"service\":\"%s\","
                        + "\"max_attempts\":%d}",
                prefix.replace("/", ""),
                prefix,
                kind,
                timeoutMillis,
                service,
                attempts);
    }

    /** Publishes a server. */
    public void server(String id, String service, RawServer server) {
        mStore.put(
                "servers/" + id,
                String.format(
                        Locale.ROOT,
                        "{\"service\":\"%s\",\"address\":\"%s\",\"zone\":\"domain-1\","
                                + "\"version\":\"v1\",\"slots\":64,\"state\":\"ready\","
                                + "\"cold_remaining_ms\":0,\"sequence\":1}",
                        service,
                        server.address()));
    }

    /** Publishes a configuration with routes that need no key. */
    public void configure(String... routes) {
        configureAccounts("", routes);
    }

    /** Publishes a configuration; the accounts are a JSON list, or empty if it has none. */
    void configureAccounts(String accounts, String... routes) {
        String field = accounts.isEmpty() ? "" : ",\"tenants\":" + accounts;
        mStore.put(
                "op/config",
                String.format(
                        Locale.ROOT,
                        "{\"version\":%d,\"routes\":[%s],\"services\":["
                                + "{\"name\":\"faulty\",\"max_connections\":200},"
                                + "{\"name\":\"sound\",\"max_connections\":200}],"
                                + "\"limits\":{\"max_body_bytes\":100000,"
                                + "\"idle_timeout_ms\":15000}%s}",
                        ++mVersion,
                        String.join(",", routes),
                        field));
    }

    /** Starts the router and waits until it is ready. */
    public void start() throws IOException {
        Path settings = mFolder.resolve("settings.toml");
        Files.writeString(
                settings,
                """
                vm = "entry-1"
                failure-domain = "domain-1"
                callers-address = "%s"
                readiness-address = "%s"
                operators-address = "%s"
                peers-address = "%s"
                store-address = "%s"
                stop-grace = "5 s"
                """
                        .formatted(
                                mCallers,
                                mReadiness,
                                Ports.free(),
                                Ports.free(),
                                mStore.server().address()));
        mRouter =
                new ManagedProcess(
                        "router",
                        mFolder,
                        List.of(
                                "env",
                                "MAGNOLIASEAM_JAVA_OPTS=" + mJavaOptions,
                                System.getProperty("magnoliaseam.binary"),
                                "route",
                                "--publisher",
                                "store",
                                "--settings",
                                settings.toString()));
        await().atMost(TIMEOUT).until(this::ready);
    }

    /** Adds a line to the settings, sends SIGHUP and waits until the router has read them. */
    void reload(String line) throws IOException {
        Files.writeString(mFolder.resolve("settings.toml"), line + "\n", StandardOpenOption.APPEND);
        mRouter.send(Signal.HUP);
        await().atMost(TIMEOUT).until(() -> mRouter.output().contains("read again, changed=true"));
    }

    private boolean ready() {
        try (Socket socket = new Socket(mReadiness.host(), mReadiness.port())) {
            write(socket, "GET /-/ready HTTP/1.1\r\nHost: h\r\n\r\n");
            return read(socket).status() == 200;
        } catch (IOException e) {
            return false;
        }
    }

    /** Returns the store. */
    StoreStandIn store() {
        return mStore;
    }

    /** Returns the router process. */
    public ManagedProcess router() {
        return mRouter;
    }

    /** Opens a connection of a caller. */
    public Socket connect() throws IOException {
        Socket socket = new Socket(mCallers.host(), mCallers.port());
        socket.setTcpNoDelay(true);
        socket.setSoTimeout(READ_MILLIS);
        return socket;
    }

    /** Returns the head of a request whose body has a length. */
    static String head(String method, String path, String id, int length) {
        return String.format(
                Locale.ROOT,
                "%s %s HTTP/1.1\r\nHost: site.example\r\nX-Request-Id: %s\r\n"
                        + "Content-Length: %d\r\n\r\n",
                method,
                path,
                id,
                length);
    }

    /** Sends a request on a connection of its own and returns the answer. */
    RawMessage call(String method, String path, String id, String body) throws IOException {
        try (Socket socket = connect()) {
            write(socket, head(method, path, id, body.length()) + body);
            return read(socket);
        }
    }

    /** Writes text. */
    static void write(Socket socket, String text) throws IOException {
        RawServer.write(socket, text.getBytes(StandardCharsets.ISO_8859_1));
    }

    /** Reads an answer. */
    static RawMessage read(Socket socket) throws IOException {
        return new RawReader(new BufferedInputStream(socket.getInputStream()))
                .answer(false)
                .orElseThrow(() -> new IOException("closed without an answer"));
    }

    @Override
    public void close() throws Exception {
        mRouter.kill();
        mStore.close();
    }
}
