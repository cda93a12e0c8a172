package org.magnoliaseam.gateway;

import static org.assertj.core.api.Assertions.assertThat;
import static org.magnoliaseam.gateway.GatewayFixtures.ENGINES;
import static org.magnoliaseam.gateway.GatewayFixtures.OWN_DOMAIN;
import static org.magnoliaseam.gateway.GatewayFixtures.request;
import static org.magnoliaseam.gateway.GatewayFixtures.route;
import static org.magnoliaseam.gateway.GatewayFixtures.server;

import com.codahale.metrics.MetricRegistry;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.magnoliaseam.backend.BackendFailure;
import org.magnoliaseam.catalog.RequestKind;
import org.magnoliaseam.catalog.Route;
import org.magnoliaseam.error.Executed;
import org.magnoliaseam.exchange.AnswerHead;
import org.magnoliaseam.exchange.Header;

/** Tests what the next backend server answers after a stream that has begun was broken off. */
class BrokenOffStreamTest {
    private static final AnswerHead SHORT_HEAD =
            new AnswerHead(200, List.of(new Header("Content-Length", "0")));

    private final RecordingBackend mBackend = new RecordingBackend();

    private final RecordingSink mSink = new RecordingSink();

    private final ServerPool mPool =
            new ServerPool(OWN_DOMAIN, () -> GatewayFixtures.RETRIES, () -> 1);

    private final Gateway mGateway =
            new Gateway(
                    new GatewayParts(
                            mPool,
                            mBackend,
                            (peer, message) -> {},
                            new RequestLog(new MetricRegistry()),
                            () -> 1));

    @BeforeEach
    void breakOff() {
        for (String id : List.of("a", "b", "c", "d")) {
            mPool.publishedServers().add(server(id, ENGINES, false));
        }
        Route route = route(RequestKind.STREAM, 3, true, 200);
        mGateway.submit(request("r1", route, Prompt.NONE), mSink);
        mBackend.last().head(head(200));
        content("id: 1\ndata: a\n\n");
        mBackend.last().failed(BackendFailure.CONNECTION_LOST, "reset");
    }

    private static AnswerHead head(int status) {
        return new AnswerHead(status, List.of());
    }

    private void content(String text) {
        mBackend.last().content(ByteBuffer.wrap(text.getBytes(StandardCharsets.UTF_8)));
    }

    private void answer(AnswerHead head, String body) {
        mBackend.last().head(head);
        content(body);
        mBackend.last().ended();
    }

    @Test
    void errorOfTheNextServerIsNotPartOfTheStream() {
        answer(head(500), "internal error\n\n");
        assertThat(mSink.mHeads).isEqualTo(1);
        assertThat(mSink.mBody).hasToString("id: 1\ndata: a\n\n");
        assertThat(mSink.mComplete).isFalse();
        answer(head(200), "id: 2\ndata: b\n\n");
        assertThat(mSink.mBody).hasToString("id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
        assertThat(mSink.mComplete).isTrue();
    }

    @Test
    void refusalByTheNextServerBreaksTheStreamOffInTheEnd() {
        answer(head(404), "unknown\n\n");
        answer(head(400), "bad\n\n");
        assertThat(mSink.mHeads).isEqualTo(1);
        assertThat(mSink.mBody).hasToString("id: 1\ndata: a\n\n");
        assertThat(mSink.mComplete).isFalse();
        assertThat(mSink.mAborted).isTrue();
    }

    @Test
    void answerOfAnotherTypeIsNotPartOfTheStream() {
        AnswerHead page = new AnswerHead(200, List.of(new Header("Content-Type", "text/html")));
        answer(page, "<p>sorry</p>\n\n");
        assertThat(mSink.mBody).hasToString("id: 1\ndata: a\n\n");
        assertThat(mSink.mComplete).isFalse();
    }

    @Test
    void connectionThatEndsBeforeTheFirstEventDoesNotCompleteTheStream() {
        answer(head(200), "");
        assertThat(mSink.mComplete).isFalse();
        assertThat(mBackend.mOrders).hasSize(3);
    }

    @Test
    void emptyRestWithALengthCompletesTheStream() {
        answer(SHORT_HEAD, "");
        assertThat(mSink.mComplete).isTrue();
    }

    @Test
    void streamWithoutAnyEventIsNotComplete() {
        RecordingSink sink = new RecordingSink();
        Route route = route(RequestKind.STREAM, 1, true, 200);
        mGateway.submit(request("r2", route, Prompt.NONE), sink);
        answer(SHORT_HEAD, "");
        assertThat(sink.mComplete).isFalse();
        assertThat(sink.mRefusal.kind().executed()).isNotEqualTo(Executed.NO);
    }
}
