package org.magnoliaseam.platform;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Random;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.HttpConfiguration;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.server.Server;
import org.eclipse.jetty.server.ServerConnector;
import org.eclipse.jetty.util.Callback;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.magnoliaseam.caller.BodyReader;
import org.magnoliaseam.caller.ObservedConnectionFactory;
import org.magnoliaseam.caller.ObservedEndPoint;
import org.magnoliaseam.exchange.AnswerHead;
import org.magnoliaseam.model.RequestId;

/** Tests callers that send their next request as soon as they have an answer. */
class KeptConnectionTest {

    private static final int CALLERS = 4;

    private static final int REQUESTS = 400;

    private static final int BODY_BYTES = 18_000;

    private static final int CHUNK_BYTES = 5_000;

    private static final long WORK_MILLIS = 3;

    private static final int TIMEOUT_MILLIS = 5000;

    private final ExecutorService mCallers = Executors.newCachedThreadPool();

    private final ScheduledExecutorService mWork = Executors.newScheduledThreadPool(2);

    private final Server mServer = new Server();

    private int mPort;

    /** Lists the ways to delimit a body. */
    enum Framing {
        LENGTH,
        CHUNKS
    }

    /** Answers with the body of the request after some time, and observes the connection. */
    private final class EchoHandler extends Handler.Abstract {

        @Override
        public boolean handle(Request request, Response response, Callback callback) {
            CallerResponse answer = new CallerResponse(response, callback, new RequestId("r1"));
            long deadline = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(TIMEOUT_MILLIS);
            new BodyReader(
                            request,
                            2 * BODY_BYTES,
                            deadline,
                            System::nanoTime,
                            body ->
                                    body.fold(
                                            bytes -> run(request, answer, bytes),
                                            refusal -> run(request, answer, new byte[0])))
                    .read();
            return true;
        }

        private Void run(Request request, CallerResponse answer, byte[] body) {
            answer.observe(
                    (ObservedEndPoint)
                            request.getConnectionMetaData().getConnection().getEndPoint(),
                    () -> {});
            mWork.schedule(
                    () -> {
                        answer.head(new AnswerHead(200, List.of()));
                        answer.endWith(ByteBuffer.wrap(body));
                    },
                    WORK_MILLIS,
                    TimeUnit.MILLISECONDS);
            return null;
        }
    }

    @BeforeEach
    void start() throws Exception {
        ServerConnector connector =
                new ServerConnector(
                        mServer,
                        1,
                        2,
                        new ObservedConnectionFactory(
                                new HttpConfiguration(), TIMEOUT_MILLIS, System::nanoTime));
        connector.setHost(InetAddress.getLoopbackAddress().getHostAddress());
        mServer.addConnector(connector);
        mServer.setHandler(new EchoHandler());
        mServer.start();
        mPort = connector.getLocalPort();
    }

    @AfterEach
    void stop() throws Exception {
        mCallers.shutdownNow();
        mWork.shutdownNow();
        mServer.stop();
    }

    /** Guards against bodies with swapped or repeated parts on connections without a pause. */
    @ParameterizedTest
    @EnumSource
    void bodiesArriveAsTheyWereSent(Framing framing) throws Exception {
        List<Future<List<String>>> callers = new ArrayList<>();
        for (int i = 0; i < CALLERS; i++) {
            long seed = i;
            callers.add(mCallers.submit(() -> send(framing, new Random(seed))));
        }
        for (Future<List<String>> caller : callers) {
            assertThat(caller.get()).isEmpty();
        }
    }

    /** Sends requests over one connection and returns the faulty answers. */
    private List<String> send(Framing framing, Random random) throws IOException {
        List<String> faults = new ArrayList<>();
        try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), mPort)) {
            socket.setSoTimeout(TIMEOUT_MILLIS);
            socket.setTcpNoDelay(true);
            DataInputStream in = new DataInputStream(socket.getInputStream());
            for (int i = 0; i < REQUESTS && faults.isEmpty(); i++) {
                byte[] body = new byte[BODY_BYTES];
                random.nextBytes(body);
                socket.getOutputStream().write(request(framing, body));
                String head = head(in);
                if (!head.startsWith("HTTP/1.1 200")) {
                    faults.add("request " + i + ": " + head);
                } else if (!Arrays.equals(in.readNBytes(length(head)), body)) {
                    faults.add("request " + i + ": the body changed");
                }
            }
        }
        return faults;
    }

    private static byte[] request(Framing framing, byte[] body) throws IOException {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        if (framing == Framing.LENGTH) {
            ascii(out, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: " + BODY_BYTES + "\r\n\r\n");
            out.write(body);
            return out.toByteArray();
        }
        ascii(out, "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n");
        for (int at = 0; at < body.length; at += CHUNK_BYTES) {
            int size = Math.min(CHUNK_BYTES, body.length - at);
            ascii(out, Integer.toHexString(size) + ";part=" + at + "\r\n");
            out.write(body, at, size);
            ascii(out, "\r\n");
        }
        ascii(out, "0\r\nX-Last: 1\r\n\r\n");
        return out.toByteArray();
    }

    private static void ascii(OutputStream out, String text) throws IOException {
        out.write(text.getBytes(StandardCharsets.US_ASCII));
    }

    private static String head(DataInputStream in) throws IOException {
        StringBuilder head = new StringBuilder();
        while (head.indexOf("\r\n\r\n") < 0) {
            head.append((char) in.readUnsignedByte());
        }
        return head.toString();
    }

    private static int length(String head) {
        String field = HttpHeader.CONTENT_LENGTH.asString() + ": ";
        int begin = head.indexOf(field) + field.length();
        return Integer.parseInt(head.substring(begin, head.indexOf("\r\n", begin)));
    }
}
