package org.magnoliaseam.platform;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.function.Consumer;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.server.Server;
import org.eclipse.jetty.server.ServerConnector;
import org.eclipse.jetty.util.Callback;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.magnoliaseam.exchange.AnswerHead;
import org.magnoliaseam.exchange.Header;
import org.magnoliaseam.model.RequestId;

/** Tests the bytes that callers receive. */
class CallerResponseTest {

    private static final int TIMEOUT_MILLIS = 5000;

    /** More bytes than the buffers of a connection hold. */
    private static final int LARGE_BYTES = 16 * 1024 * 1024;

    private static final String EVENT = "id: 1\ndata: 1\n\n";

    private final Server mServer = new Server();

    @AfterEach
    void stop() throws Exception {
        mServer.stop();
    }

    /** Returns all bytes of a response that announces {@code Connection: close}. */
    private String receive(Consumer<CallerResponse> behavior) throws Exception {
        ServerConnector connector = new ServerConnector(mServer);
        connector.setHost("127.0.0.1");
        mServer.addConnector(connector);
        mServer.setHandler(
                new Handler.Abstract() {
                    @Override
                    public boolean handle(Request request, Response response, Callback callback) {
                        response.getHeaders().put("Connection", "close");
                        behavior.accept(
                                new CallerResponse(response, callback, new RequestId("r1")));
                        return true;
                    }
                });
        mServer.start();
        InetAddress host = InetAddress.getByName("127.0.0.1");
        try (Socket socket = new Socket(host, connector.getLocalPort())) {
            socket.setSoTimeout(TIMEOUT_MILLIS);
            String request = "POST /p HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n";
            socket.getOutputStream().write(request.getBytes(StandardCharsets.US_ASCII));
            return readAll(socket);
        }
    }

    /** Reads until the connection ends or is reset, which both end the response. */
    private static String readAll(Socket socket) {
        StringBuilder text = new StringBuilder();
        byte[] buffer = new byte[4096];
        try {
            int count = socket.getInputStream().read(buffer);
            while (count >= 0) {
                text.append(new String(buffer, 0, count, StandardCharsets.UTF_8));
                count = socket.getInputStream().read(buffer);
            }
        } catch (IOException e) {
            return text.toString();
        }
        return text.toString();
    }

    private static void sendFirstEvent(CallerResponse answer) {
        answer.head(new AnswerHead(200, List.of(new Header("Content-Type", "text/event-stream"))));
        answer.write(ByteBuffer.wrap(EVENT.getBytes(StandardCharsets.UTF_8))).join();
    }

    @Test
    void abortedStreamWithConnectionCloseLooksIncomplete() throws Exception {
        String received =
                receive(
                        answer -> {
                            sendFirstEvent(answer);
                            answer.breakOff();
                        });
        assertThat(received).contains("Transfer-Encoding: chunked").contains(EVENT);
        assertThat(received).doesNotContain("0\r\n\r\n");
    }

    @Test
    void completeStreamWithConnectionCloseLooksComplete() throws Exception {
        String received =
                receive(
                        answer -> {
                            sendFirstEvent(answer);
                            answer.end();
                        });
        assertThat(received).contains("Transfer-Encoding: chunked").endsWith("0\r\n\r\n");
    }

    @Test
    void completeBodyHasAContentLength() throws Exception {
        String received =
                receive(
                        answer -> {
                            answer.head(new AnswerHead(200, List.of()));
                            answer.endWith(ByteBuffer.wrap(new byte[] {'o', 'k'}));
                        });
        assertThat(received).contains("Content-Length: 2").endsWith("\r\n\r\nok");
    }

    /** Guards against a stream that ends since its caller has not read the event before. */
    @Test
    void eventsThatComeFasterThanTheCallerReadsArriveInOrder() throws Exception {
        String large = "a".repeat(LARGE_BYTES);
        String received =
                receive(
                        answer -> {
                            answer.head(new AnswerHead(200, List.of()));
                            answer.write(ByteBuffer.wrap(large.getBytes(StandardCharsets.UTF_8)));
                            answer.write(ByteBuffer.wrap(EVENT.getBytes(StandardCharsets.UTF_8)));
                            answer.end();
                        });
        assertThat(received.contains(large + "\r\n")).isTrue();
        assertThat(received).endsWith(EVENT + "\r\n0\r\n\r\n");
    }
}
