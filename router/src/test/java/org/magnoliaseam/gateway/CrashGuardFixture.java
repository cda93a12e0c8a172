package org.magnoliaseam.gateway;

import static org.magnoliaseam.gateway.GatewayFixtures.ENGINES;
import static org.magnoliaseam.gateway.GatewayFixtures.MILLI;
import static org.magnoliaseam.gateway.GatewayFixtures.OWN_DOMAIN;
import static org.magnoliaseam.gateway.GatewayFixtures.route;
import static org.magnoliaseam.gateway.GatewayFixtures.server;

import com.codahale.metrics.MetricRegistry;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.BeforeEach;
import org.magnoliaseam.backend.BackendFailure;
import org.magnoliaseam.catalog.RequestKind;
import org.magnoliaseam.catalog.Route;
import org.magnoliaseam.exchange.AnswerHead;

/** Sends requests through a gateway to servers of which a test plays the answers and crashes. */
abstract class CrashGuardFixture {

    private static final Route STREAM = route(RequestKind.STREAM, 2, true, 200);

    final AtomicLong mNow = new AtomicLong(1);

    final RecordingBackend mBackend = new RecordingBackend();

    final ServerPool mPool = new ServerPool(OWN_DOMAIN, () -> GatewayFixtures.RETRIES, mNow::get);

    final Gateway mGateway =
            new Gateway(
                    new GatewayParts(
                            mPool,
                            mBackend,
                            (peer, message) -> {},
                            new RequestLog(new MetricRegistry()),
                            mNow::get));

    @BeforeEach
    void publishServers() {
        for (String id : List.of("a", "b", "c", "d", "e", "f")) {
            mPool.publishedServers().add(server(id, ENGINES, false));
        }
    }

    RecordingSink submit(String id, String... shared) {
        RecordingSink sink = new RecordingSink();
        mGateway.submit(request(id, shared), sink);
        return sink;
    }

    static GatewayRequest request(String id, String... shared) {
        List<PromptPart> parts = new ArrayList<>();
        for (String part : shared) {
            parts.add(new PromptPart(part, 100));
        }
        parts.add(new PromptPart("own-" + id, 100));
        Prompt prompt = new Prompt(parts, 100 * parts.size(), 50);
        return GatewayFixtures.request(id, STREAM, prompt, id, 0, 65_000 * MILLI);
    }

    /** Ends the connection of the latest attempt. */
    void crash() {
        mNow.addAndGet(100 * MILLI);
        mBackend.last().failed(BackendFailure.CONNECTION_LOST, "reset");
        mNow.addAndGet(MILLI);
    }

    void answer() {
        mBackend.last().head(new AnswerHead(200, List.of()));
        mBackend.last()
                .content(ByteBuffer.wrap("id: 1\ndata: x\n\n".getBytes(StandardCharsets.UTF_8)));
        mBackend.last().ended();
    }

    /** Makes a part a cause: two requests crash two servers each. */
    void findCause() {
        submit("c1", "crashing");
        crash();
        crash();
        submit("c2", "crashing");
        crash();
    }
}
