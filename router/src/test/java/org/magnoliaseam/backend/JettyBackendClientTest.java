package org.magnoliaseam.backend;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.BufferedReader;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URI;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.eclipse.jetty.client.HttpClient;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.magnoliaseam.FleetFixtures;
import org.magnoliaseam.exchange.AnswerHead;
import org.magnoliaseam.model.BackendKind;
import org.magnoliaseam.model.BackendServerId;
import org.magnoliaseam.model.RequestId;
import org.magnoliaseam.model.Tier;
import org.magnoliaseam.settings.BackendServer;

/** Tests calls of a backend server that the test plays on a socket. */
class JettyBackendClientTest {

    private static final int ANSWER_DELAY_MILLIS = 300;
    private static final int ACCEPT_MILLIS = 3000;

    private final HttpClient mClient =
            new HttpClient(new BackendTransport(new BackendConnector(), -1));
    private ServerSocket mServer;

    @BeforeEach
    void start() throws Exception {
        mClient.start();
        mServer = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
        mServer.setSoTimeout(ACCEPT_MILLIS);
    }

    @AfterEach
    void stop() throws Exception {
        mClient.stop();
        mServer.close();
    }

    private Listener start(String path) {
        URI address = URI.create("http://127.0.0.1:" + mServer.getLocalPort());
        BackendServer server =
                new BackendServer(
                        new BackendServerId("ledger-1"),
                        BackendKind.PLAIN_SERVICE,
                        address,
                        FleetFixtures.REGION,
                        FleetFixtures.DOMAIN,
                        Set.of(),
                        Optional.empty(),
                        1,
                        1,
                        false);
        BackendCall call =
                new BackendCall(
                        server,
                        new RequestId("a"),
                        new Tier(1),
                        "GET",
                        path,
                        List.of(),
                        new byte[0],
                        0,
                        true,
                        0);
        Listener listener = new Listener();
        new JettyBackendClient(mClient, mClient).start(call, listener);
        return listener;
    }

    /** Calls the server and returns its request line once its answer has ended. */
    private String call(String path) throws Exception {
        Listener listener = start(path);
        try (Socket socket = mServer.accept()) {
            BufferedReader reader =
                    new BufferedReader(new InputStreamReader(socket.getInputStream()));
            String line = reader.readLine();
            TimeUnit.MILLISECONDS.sleep(ANSWER_DELAY_MILLIS);
            String answer = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
            socket.getOutputStream().write(answer.getBytes(StandardCharsets.US_ASCII));
            assertThat(listener.mEnd.get(5, TimeUnit.SECONDS)).isEqualTo("ended");
            return line;
        }
    }

    @Test
    void callWithoutTimeLimitWaitsForTheAnswer() throws Exception {
        assertThat(call("/a?b=c")).isEqualTo("GET /a?b=c HTTP/1.1");
    }

    @Test
    void pathThatLooksLikeAnotherHostGoesToTheServer() throws Exception {
        assertThat(call("//other.example/a")).isEqualTo("GET //other.example/a HTTP/1.1");
    }

    /** Guards against a part of an answer that passes for the whole one after a reset. */
    @ParameterizedTest
    @CsvSource({"false,ended", "true,CONNECTION_LOST"})
    void answerWithoutALengthIsCompleteUnlessItIsReset(boolean reset, String end) throws Exception {
        Listener listener = start("/a");
        try (Socket socket = mServer.accept()) {
            socket.getInputStream().read(new byte[4096]);
            String answer = "HTTP/1.1 200 OK\r\n\r\nhalf a bo";
            socket.getOutputStream().write(answer.getBytes(StandardCharsets.US_ASCII));
            TimeUnit.MILLISECONDS.sleep(ANSWER_DELAY_MILLIS);
            socket.setSoLinger(reset, 0);
        }
        assertThat(listener.mEnd.get(5, TimeUnit.SECONDS)).isEqualTo(end);
    }

    /** Guards against statuses outside of 200 to 599 that are passed on as answers. */
    @ParameterizedTest
    @ValueSource(strings = {"000", "150", "600", "999"})
    void invalidStatusIsNoAnswer(String status) throws Exception {
        Listener listener = start("/a");
        try (Socket socket = mServer.accept()) {
            socket.getInputStream().read(new byte[4096]);
            String answer = "HTTP/1.1 " + status + " Trouble\r\nContent-Length: 4\r\n\r\nbody";
            socket.getOutputStream().write(answer.getBytes(StandardCharsets.US_ASCII));
            assertThat(listener.mEnd.get(5, TimeUnit.SECONDS))
                    .isIn("MISMATCHED", "CONNECTION_LOST");
        }
    }

    /** Records the end of an answer. */
    private static final class Listener implements BackendListener {

        private final CompletableFuture<String> mEnd = new CompletableFuture<>();

        @Override
        public boolean sending() {
            return true;
        }

        @Override
        public void head(AnswerHead head) {}

        @Override
        public CompletableFuture<Void> content(ByteBuffer bytes) {
            return CompletableFuture.completedFuture(null);
        }

        @Override
        public void ended() {
            mEnd.complete("ended");
        }

        @Override
        public void failed(BackendFailure failure, String detail) {
            mEnd.complete(failure.name());
        }
    }
}
