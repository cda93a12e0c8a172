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
import org.magnoliaseam.catalog.Catalog;
import org.magnoliaseam.error.Result;
import org.magnoliaseam.gateway.CurrentCatalog;
import org.magnoliaseam.gateway.Gateway;
import org.magnoliaseam.gateway.ShutdownState;

/** Tests requests whose handling fails with an exception. */
class FailedSubmissionTest {

    private static final int TIMEOUT_MILLIS = 2000;

    private static final long PAUSE_MILLIS = 50;

    private static final String HEAD =
            "POST /known/x HTTP/1.1\r\nHost: h\r\nX-Request-Id: r1\r\nContent-Length: 2\r\n\r\n";

    private static final String CONFIGURATION =
            "{\"version\":1,\"services\":[{\"name\":\"s\",\"max_connections\":2}],\"routes\":["
                    + "{\"name\":\"r\",\"host\":\"h\",\"prefix\":\"/known/\",\"kind\":\"safe\","
                    + "\"timeout_ms\":900,\"target_latency_ms\":300,\"service\":\"s\","
                    + "\"max_attempts\":1}]}";

    private final Server mServer = new Server();

    private final CurrentCatalog mCatalog =
            new CurrentCatalog(Duration.ofMinutes(1), System::nanoTime);

    private int mPort;

    /** Lists the packets of the request. */
    enum Sent {
        WHOLE(HEAD + "ab"),
        BODY_LATER(HEAD, "ab"),
        BODY_IN_PARTS(HEAD + "a", "b");

        private final String[] mPackets;

        Sent(String... packets) {
            mPackets = packets;
        }
    }

    @BeforeEach
    void start() throws Exception {
        ObservedConnectionFactory connections =
                new ObservedConnectionFactory(
                        new HttpConfiguration(), TIMEOUT_MILLIS, System::nanoTime);
        ServerConnector connector = new ServerConnector(mServer, 1, 2, connections);
        connector.setHost(InetAddress.getLoopbackAddress().getHostAddress());
        mServer.addConnector(connector);
        // Without parts, the gateway throws an exception for each request.
        mServer.setHandler(
                new CallerProtocol(
                        mCatalog, new Gateway(null), new ShutdownState(), System::nanoTime));
        mServer.start();
        mPort = connector.getLocalPort();
        Result<Catalog, String> decoded =
                CatalogDecoder.decode(CONFIGURATION.getBytes(StandardCharsets.UTF_8));
        mCatalog.offer(((Result.Ok<Catalog, String>) decoded).value());
        mCatalog.confirmed();
    }

    @AfterEach
    void stop() throws Exception {
        mServer.stop();
    }

    /** Guards against an exception after the body was read that leaves no answer. */
    @ParameterizedTest
    @EnumSource
    void callerGetsAnAnswerOfTheRouter(Sent sent) throws Exception {
        try (CallerSocket caller = new CallerSocket(mPort, TIMEOUT_MILLIS)) {
            for (String packet : sent.mPackets) {
                caller.write(packet);
                TimeUnit.MILLISECONDS.sleep(PAUSE_MILLIS);
            }
            assertThat(caller.answer()).startsWith("HTTP/1.1 500").contains("X-Request-Id: r1");
        }
    }
}
