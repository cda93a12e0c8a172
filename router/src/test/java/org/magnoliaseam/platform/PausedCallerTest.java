package org.magnoliaseam.platform;

import static org.assertj.core.api.Assertions.assertThat;

import java.net.InetAddress;
import java.nio.ByteBuffer;
import java.util.List;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
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

/** Tests callers that send their next request long after an earlier one. */
class PausedCallerTest {

    private static final long RECEIVE_LIMIT_MILLIS = 300;

    private static final long WORK_MILLIS = 100;

    private static final int TIMEOUT_MILLIS = 3000;

    private static final String WHOLE =
            "POST /run HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nab";

    private static final String HEAD = " HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\n";

    private static final String CHUNKED =
            " HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n";

    private final ScheduledExecutorService mWork = Executors.newScheduledThreadPool(2);

    private final Server mServer = new Server();

    private int mPort;

    /** Lists what a caller sends, in packets, before its next request. */
    enum Earlier {
        WHOLE_REQUEST(1, WHOLE),
        BODY_LATER(1, "POST /run" + HEAD, "ab"),
        TRAILER_LATER(1, "POST /run" + CHUNKED + "2\r\nab\r\n", "0\r\n\r\n"),
        EMPTY_LINE_AT_ONCE(1, WHOLE + "\r\n"),
        EMPTY_LINE_DURING_WORK(1, WHOLE, "\r\n"),
        EMPTY_LINE_LATER(1, WHOLE, "", "", "\r\n"),
        EMPTY_LINE_FIRST(0, "\r\n"),
        PIPELINED(2, WHOLE + WHOLE),
        PIPELINED_DURING_WORK(2, WHOLE, WHOLE),
        PIPELINED_IN_PARTS(2, WHOLE + "POST /run" + HEAD, "ab"),
        PIPELINED_HALF_A_LINE(
                2, WHOLE + "POST /run HT", "TP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nab");

        private final int mAnswers;

        private final String[] mPackets;

        Earlier(int answers, String... packets) {
            mAnswers = answers;
            mPackets = packets;
        }
    }

    /** Answers with the body of the request after some time. */
    private final class WorkHandler extends Handler.Abstract {

        @Override
        public boolean handle(Request request, Response response, Callback callback) {
            CallerResponse answer = new CallerResponse(response, callback, new RequestId("r1"));
            long deadline = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(TIMEOUT_MILLIS);
            new BodyReader(
                            request,
                            10,
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
                                new HttpConfiguration(), RECEIVE_LIMIT_MILLIS, System::nanoTime));
        connector.setHost(InetAddress.getLoopbackAddress().getHostAddress());
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

    /** Guards against the end of a kept connection, without an answer, for an earlier request. */
    @ParameterizedTest
    @EnumSource
    void nextRequestIsAnswered(Earlier earlier) throws Exception {
        try (CallerSocket caller = new CallerSocket(mPort, TIMEOUT_MILLIS)) {
            for (String packet : earlier.mPackets) {
                caller.write(packet);
                TimeUnit.MILLISECONDS.sleep(WORK_MILLIS / 2);
            }
            for (int i = 0; i < earlier.mAnswers; i++) {
                assertThat(caller.answer()).startsWith("HTTP/1.1 200");
            }
            TimeUnit.MILLISECONDS.sleep(2 * RECEIVE_LIMIT_MILLIS);
            caller.write(WHOLE);
            assertThat(caller.answer()).startsWith("HTTP/1.1 200");
        }
    }
}
