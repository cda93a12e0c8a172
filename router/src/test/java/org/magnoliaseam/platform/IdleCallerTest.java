package org.magnoliaseam.platform;

import static org.assertj.core.api.Assertions.assertThat;

import java.net.InetAddress;
import java.nio.ByteBuffer;
import java.util.List;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.HttpConfiguration;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.server.Server;
import org.eclipse.jetty.server.ServerConnector;
import org.eclipse.jetty.util.Callback;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.magnoliaseam.caller.BodyReader;
import org.magnoliaseam.caller.ObservedConnectionFactory;
import org.magnoliaseam.caller.ObservedEndPoint;
import org.magnoliaseam.exchange.AnswerHead;
import org.magnoliaseam.model.RequestId;

/** Tests callers that use their connections again after a pause. */
class IdleCallerTest {

    private static final int TIMEOUT_MILLIS = 5000;

    private static final long CONNECTOR_IDLE_MILLIS = 400;

    private static final long PUBLISHED_IDLE_MILLIS = 1500;

    private static final long PAUSE_MILLIS = 1200;

    private static final String HEAD = " HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\n";

    private static final String SHORT = "POST /short" + HEAD + "ab";

    private static final String LONG = "POST /long" + HEAD + "ab";

    private final ScheduledExecutorService mWork = Executors.newScheduledThreadPool(2);

    private final AtomicLong mPublishedMillis = new AtomicLong();

    private final Server mServer = new Server();

    private int mPort;

    /** Answers with the body of the request, at once or after a pause. */
    private final class WorkHandler extends Handler.Abstract {

        @Override
        public boolean handle(Request request, Response response, Callback callback) {
            CallerResponse answer = new CallerResponse(response, callback, new RequestId("r1"));
            long deadline = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(TIMEOUT_MILLIS);
            new BodyReader(
                            request,
                            2,
                            deadline,
                            System::nanoTime,
                            body -> body.fold(bytes -> run(request, answer, bytes), no -> null))
                    .read();
            return true;
        }

        private Void run(Request request, CallerResponse answer, byte[] body) {
            answer.observe(
                    (ObservedEndPoint)
                            request.getConnectionMetaData().getConnection().getEndPoint(),
                    () -> {});
            boolean isLong = request.getHttpURI().getPath().equals("/long");
            mWork.schedule(
                    () -> {
                        answer.head(new AnswerHead(200, List.of()));
                        answer.endWith(ByteBuffer.wrap(body));
                    },
                    isLong ? PAUSE_MILLIS : 0,
                    TimeUnit.MILLISECONDS);
            return null;
        }
    }

    @BeforeEach
    void start() throws Exception {
        ObservedConnectionFactory connections =
                new ObservedConnectionFactory(
                        new HttpConfiguration(), TIMEOUT_MILLIS, System::nanoTime);
        connections.idleTime(mPublishedMillis::get);
        ServerConnector connector = new ServerConnector(mServer, 1, 2, connections);
        connector.setHost(InetAddress.getLoopbackAddress().getHostAddress());
        connector.setIdleTimeout(CONNECTOR_IDLE_MILLIS);
        mServer.addConnector(connector);
        mServer.setHandler(new WorkHandler());
        mServer.start();
        mPort = connector.getLocalPort();
    }

    @AfterEach
    void stop() throws Exception {
        mWork.shutdownNow();
        mServer.stop();
    }

    private static void assertAnswered(CallerSocket caller, String request) throws Exception {
        caller.write(request);
        assertThat(caller.answer()).startsWith("HTTP/1.1 200");
    }

    /** Guards against a connection that ends while its caller may still use it. */
    @Test
    void connectionStaysOpenForThePublishedIdleTime() throws Exception {
        mPublishedMillis.set(PUBLISHED_IDLE_MILLIS);
        try (CallerSocket caller = new CallerSocket(mPort, TIMEOUT_MILLIS)) {
            TimeUnit.MILLISECONDS.sleep(PAUSE_MILLIS);
            assertAnswered(caller, SHORT);
            TimeUnit.MILLISECONDS.sleep(PAUSE_MILLIS);
            assertAnswered(caller, SHORT);
        }
    }

    /** Guards against the same on a connection that was idle when a longer time was published. */
    @Test
    void idleConnectionFollowsALongerIdleTime() throws Exception {
        try (CallerSocket caller = new CallerSocket(mPort, TIMEOUT_MILLIS)) {
            assertAnswered(caller, SHORT);
            TimeUnit.MILLISECONDS.sleep(CONNECTOR_IDLE_MILLIS / 4);
            mPublishedMillis.set(PUBLISHED_IDLE_MILLIS);
            TimeUnit.MILLISECONDS.sleep(PAUSE_MILLIS - CONNECTOR_IDLE_MILLIS / 4);
            assertAnswered(caller, SHORT);
        }
    }

    /** Guards against connections that are never closed. */
    @Test
    void unusedConnectionIsClosedAfterTheIdleTime() throws Exception {
        mPublishedMillis.set(CONNECTOR_IDLE_MILLIS / 2);
        try (CallerSocket caller = new CallerSocket(mPort, TIMEOUT_MILLIS)) {
            assertAnswered(caller, SHORT);
            assertThat(caller.answer()).isEmpty();
        }
    }

    /** Guards against the end of a request that takes longer than the idle time. */
    @Test
    void requestInProgressOutlastsTheIdleTime() throws Exception {
        try (CallerSocket caller = new CallerSocket(mPort, TIMEOUT_MILLIS)) {
            assertAnswered(caller, LONG);
            assertAnswered(caller, LONG);
        }
    }
}
