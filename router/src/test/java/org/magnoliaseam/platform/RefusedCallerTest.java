package org.magnoliaseam.platform;

import static org.assertj.core.api.Assertions.assertThat;

import java.net.InetAddress;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.concurrent.TimeUnit;
import org.eclipse.jetty.server.HttpConfiguration;
import org.eclipse.jetty.server.Server;
import org.eclipse.jetty.server.ServerConnector;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.magnoliaseam.caller.ObservedConnectionFactory;
import org.magnoliaseam.caller.UnansweredEnd;
import org.magnoliaseam.catalog.Catalog;
import org.magnoliaseam.error.Result;
import org.magnoliaseam.gateway.CurrentCatalog;
import org.magnoliaseam.gateway.Gateway;
import org.magnoliaseam.gateway.ShutdownState;

/** Tests callers whose requests are refused before their bodies arrive. */
class RefusedCallerTest {

    private static final int TIMEOUT_MILLIS = 3000;

    private static final long PAUSE_MILLIS = 50;

    private static final String LENGTH =
            " HTTP/1.1\r\nHost: h\r\nX-Request-Id: r1\r\nContent-Length: ";

    private static final String CHUNKED =
            " HTTP/1.1\r\nHost: h\r\nX-Request-Id: r1\r\nTransfer-Encoding: chunked\r\n\r\n";

    private static final String UNKNOWN = "POST /unknown/x";

    private static final int LONG_BODY_BYTES = 1_000_000;

    private static final String CONFIGURATION =
            "{\"version\":1,\"services\":[{\"name\":\"s\",\"max_connections\":2}],\"routes\":["
                    + "{\"name\":\"r\",\"host\":\"h\",\"prefix\":\"/known/\",\"kind\":\"safe\","
                    + "\"timeout_ms\":900,\"target_latency_ms\":300,\"service\":\"s\","
                    + "\"max_attempts\":1}],\"limits\":{\"max_body_bytes\":2000000,"
                    + "\"idle_timeout_ms\":15000}}";

    private final Server mServer = new Server();

    private final ObservedConnectionFactory mConnections =
            new ObservedConnectionFactory(
                    new HttpConfiguration(), TIMEOUT_MILLIS, System::nanoTime);

    private final CurrentCatalog mCatalog =
            new CurrentCatalog(Duration.ofMinutes(1), System::nanoTime);

    private int mPort;

    /** Lists what a caller sends, in packets. */
    enum Sent {
        WHOLE(UNKNOWN + LENGTH + "2\r\n\r\nab"),
        BODY_LATER(UNKNOWN + LENGTH + "2\r\n\r\n", "ab"),
        PART_LATER(UNKNOWN + LENGTH + "2\r\n\r\na", "b"),
        CHUNKS_LATER(UNKNOWN + CHUNKED, "2\r\nab\r\n0\r\n\r\n"),
        LAST_CHUNK_LATER(UNKNOWN + CHUNKED + "2\r\nab\r\n", "0\r\n\r\n"),
        LONG_BODY_LATER(
                UNKNOWN + LENGTH + LONG_BODY_BYTES + "\r\n\r\n",
                "a".repeat(LONG_BODY_BYTES / 2),
                "a".repeat(LONG_BODY_BYTES / 2));

        private final String[] mPackets;

        Sent(String... packets) {
            mPackets = packets;
        }
    }

    @BeforeEach
    void start() throws Exception {
        ServerConnector connector = new ServerConnector(mServer, 1, 2, mConnections);
        connector.setHost(InetAddress.getLoopbackAddress().getHostAddress());
        mServer.addConnector(connector);
        mServer.setHandler(
                new CallerProtocol(
                        mCatalog, new Gateway(null), new ShutdownState(), System::nanoTime));
        mServer.start();
        mPort = connector.getLocalPort();
    }

    @AfterEach
    void stop() throws Exception {
        mServer.stop();
    }

    private void configure() {
        Result<Catalog, String> decoded =
                CatalogDecoder.decode(CONFIGURATION.getBytes(StandardCharsets.UTF_8));
        mCatalog.offer(((Result.Ok<Catalog, String>) decoded).value());
        mCatalog.confirmed();
    }

    /** Sends the packets twice over one connection and checks both answers. */
    private void sendTwice(String status, String... packets) throws Exception {
        try (CallerSocket caller = new CallerSocket(mPort, TIMEOUT_MILLIS)) {
            for (int i = 0; i < 2; i++) {
                for (String packet : packets) {
                    caller.write(packet);
                    TimeUnit.MILLISECONDS.sleep(PAUSE_MILLIS);
                }
                assertThat(caller.answer()).startsWith("HTTP/1.1 " + status);
            }
        }
        assertThat(mConnections.notices().count(UnansweredEnd.UNREAD_BODY)).isZero();
    }

    /** Guards against a refusal that is lost since its connection ends while the body arrives. */
    @ParameterizedTest
    @EnumSource
    void callerOfAnUnknownRouteGetsItsRefusal(Sent sent) throws Exception {
        configure();
        sendTwice("404", sent.mPackets);
    }

    /** Guards against the same before the first configuration. */
    @ParameterizedTest
    @EnumSource
    void callerBeforeTheFirstConfigurationGetsItsRefusal(Sent sent) throws Exception {
        sendTwice("503", sent.mPackets);
    }
}
