package org.magnoliaseam.route;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import org.eclipse.jetty.io.Content;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.server.Server;
import org.eclipse.jetty.server.ServerConnector;
import org.eclipse.jetty.util.Callback;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.magnoliaseam.caller.BodyReader;

/** Tests requests of callers that never end. */
class EndlessRequestTest {

    private static final int CONNECTIONS = 80;

    private static final int MAX_BODY_BYTES = 64 * 1024;

    private static final long RECEIVE_LIMIT_MILLIS = 1000;

    private static final long DRIP_MILLIS = 100;

    private static final long WARM_UP_MILLIS = 10_000;

    private static final int BODY_BYTES = 3;

    private final ExecutorService mCallers = Executors.newCachedThreadPool();

    private final List<Socket> mSockets = new ArrayList<>();

    private Server mServer;

    private int mPort;

    /** Lists the requests. */
    enum Endless {
        REQUEST_LINE("GET /", "aaaaaaaaaaaaaaaa", false),
        HEADER_LINE("GET / HTTP/1.1\r\nX-Long: ", "aaaaaaaaaaaaaaaa", false),
        HEADER_LINES("GET / HTTP/1.1\r\n", "X-More: 1\r\n", false),
        EMPTY_LINES("", "\r\n", false),
        CHUNKS(Endless.CHUNKED, "10\r\naaaaaaaaaaaaaaaa\r\n", false),
        CHUNK_SIZE(Endless.CHUNKED, "0", false),
        CHUNK_EXTENSION(Endless.CHUNKED + "5;", "a=bbbbbbbbbbbbbb;", false),
        TRAILERS(Endless.CHUNKED + "0\r\n", "X-More: 1\r\n", false),
        SLOW_HEADER_LINE("GET / HTTP/1.1\r\nX-Long: ", "a", true),
        SLOW_BODY("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 9999\r\n\r\n", "a", true),
        SLOW_CHUNK_EXTENSION(Endless.CHUNKED + "5;", "a", true),
        SLOW_TRAILERS(Endless.CHUNKED + "0\r\n", "X-More: 1\r\n", true);

        private static final String CHUNKED =
                "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n";

        private final String mBegin;
        private final String mRepeated;
        private final boolean mSlow;

        Endless(String begin, String repeated, boolean slow) {
            mBegin = begin;
            mRepeated = slow ? repeated : repeated.repeat(64);
            mSlow = slow;
        }
    }

    /** Reads each body and sends its size. */
    private static final class SizeHandler extends Handler.Abstract {

        @Override
        public boolean handle(Request request, Response response, Callback callback) {
            long deadline = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(RECEIVE_LIMIT_MILLIS);
            new BodyReader(
                            request,
                            MAX_BODY_BYTES,
                            deadline,
                            System::nanoTime,
                            body ->
                                    body.fold(
                                            bytes -> answer(response, callback, bytes.length),
                                            refusal -> answer(response, callback, -1)))
                    .read();
            return true;
        }

        private static Void answer(Response response, Callback callback, int size) {
            Content.Sink.write(response, true, size + "\n", callback);
            return null;
        }
    }

    @BeforeEach
    void start() throws Exception {
        mServer =
                HttpFactory.callerServer(
                        "callers",
                        new InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
                        Duration.ofMillis(RECEIVE_LIMIT_MILLIS),
                        System::nanoTime,
                        new SizeHandler());
        mServer.start();
        mPort = ((ServerConnector) mServer.getConnectors()[0]).getLocalPort();
    }

    @AfterEach
    void stop() throws Exception {
        for (Socket socket : mSockets) {
            socket.close();
        }
        mCallers.shutdownNow();
        mServer.stop();
    }

    /** Sends a request until the connection is closed. */
    private CompletableFuture<Void> send(Endless request) throws IOException {
        Socket socket = new Socket(InetAddress.getLoopbackAddress(), mPort);
        mSockets.add(socket);
        byte[] repeated = request.mRepeated.getBytes(StandardCharsets.US_ASCII);
        return CompletableFuture.runAsync(
                () -> {
                    try {
                        OutputStream out = socket.getOutputStream();
                        out.write(request.mBegin.getBytes(StandardCharsets.US_ASCII));
                        while (true) {
                            out.write(repeated);
                            if (request.mSlow) {
                                TimeUnit.MILLISECONDS.sleep(DRIP_MILLIS);
                            }
                        }
                    } catch (IOException | InterruptedException e) {
                        // The connection was closed.
                    }
                },
                mCallers);
    }

    private HttpResponse<String> sendUsual(HttpClient client, long limitMillis) throws Exception {
        HttpRequest request =
                HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + mPort + "/"))
                        .timeout(Duration.ofMillis(limitMillis))
                        .POST(HttpRequest.BodyPublishers.ofString("a".repeat(BODY_BYTES)))
                        .build();
        return client.send(request, HttpResponse.BodyHandlers.ofString());
    }

    @ParameterizedTest
    @EnumSource
    void connectionIsClosed(Endless request) throws Exception {
        assertThat(send(request)).succeedsWithin(RECEIVE_LIMIT_MILLIS * 3, TimeUnit.MILLISECONDS);
    }

    @ParameterizedTest
    @EnumSource
    void otherCallersAreServedMeanwhile(Endless request) throws Exception {
        HttpClient client = HttpClient.newHttpClient();
        sendUsual(client, WARM_UP_MILLIS);
        for (int i = 0; i < CONNECTIONS; i++) {
            send(request);
        }
        TimeUnit.MILLISECONDS.sleep(DRIP_MILLIS);
        assertThat(sendUsual(client, RECEIVE_LIMIT_MILLIS).body()).isEqualTo(BODY_BYTES + "\n");
    }

    @Test
    void keptConnectionOutlivesTheLimit() throws Exception {
        HttpClient client = HttpClient.newHttpClient();
        sendUsual(client, WARM_UP_MILLIS);
        long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(RECEIVE_LIMIT_MILLIS * 3);
        while (System.nanoTime() - end < 0) {
            assertThat(sendUsual(client, RECEIVE_LIMIT_MILLIS).body()).isEqualTo(BODY_BYTES + "\n");
            TimeUnit.MILLISECONDS.sleep(DRIP_MILLIS);
        }
        assertThat(((ServerConnector) mServer.getConnectors()[0]).getConnectedEndPoints())
                .hasSize(1);
    }
}
