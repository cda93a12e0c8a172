package org.magnoliaseam.peer;

import static org.assertj.core.api.Assertions.assertThat;
import static org.awaitility.Awaitility.await;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.magnoliaseam.RecordFixtures;
import org.magnoliaseam.burn.BurnCountsJson;
import org.magnoliaseam.burn.BurnRecorder;
import org.magnoliaseam.exchange.AnswerHead;
import org.magnoliaseam.exchange.ForwardPurpose;
import org.magnoliaseam.explain.DecisionRecord;
import org.magnoliaseam.explain.RecordReader;
import org.magnoliaseam.explain.RecordStore;
import org.magnoliaseam.model.RequestId;
import org.magnoliaseam.model.VmId;
import org.magnoliaseam.route.PeerQueryClient;
import org.magnoliaseam.route.PeerQueryHandler;

/** Tests queries of operators over connections between entry VMs. */
class OperatorQueryTest {

    private static final byte[] SECRET = "a-secret-of-32-bytes-for-testing".getBytes();

    private static final VmId ANSWERING = new VmId("entry-2");
    private static final VmId SILENT = new VmId("entry-3");
    private static final VmId ABSENT = new VmId("entry-9");

    private final RecordFixtures mRecords = new RecordFixtures();

    private Map<VmId, Optional<String>> ask(String path, PeerQueryHandler queries)
            throws Exception {
        try (TestNode asking = new TestNode("entry-1", SECRET);
                TestNode answering = new TestNode(ANSWERING.value(), SECRET);
                TestNode silent = new TestNode(SILENT.value(), SECRET)) {
            answering.mService =
                    (request, sink) -> {
                        assertThat(request.purpose()).isEqualTo(ForwardPurpose.OPERATOR_QUERY);
                        queries.answer(request.path(), sink);
                        return () -> {};
                    };
            asking.mNode.connectTo(List.of(answering.address(), silent.address()));
            await().atMost(Duration.ofSeconds(20))
                    .until(() -> asking.connected(answering) && asking.connected(silent));
            PeerQueryClient client =
                    new PeerQueryClient(
                            new VmId("entry-1"),
                            asking.mNode,
                            () -> List.of(ANSWERING, SILENT, ABSENT),
                            () -> new RequestId("query-1"));
            return client.ask(path);
        }
    }

    private PeerQueryHandler queries(RecordStore store) {
        BurnRecorder ledger =
                new BurnRecorder(
                        ANSWERING,
                        () -> Optional.of(RecordFixtures.configuration("").configuration()),
                        () -> mRecords.mNanos);
        return new PeerQueryHandler(ledger, store);
    }

    @Test
    void burnCountsArriveAndSilentPeersAreNamed() throws Exception {
        Map<VmId, Optional<String>> answers = ask("/burn", queries(new RecordStore()));
        assertThat(answers.get(ANSWERING).flatMap(BurnCountsJson::decode)).isPresent();
        assertThat(answers.get(SILENT)).isEmpty();
        assertThat(answers.get(ABSENT)).isEmpty();
    }

    @Test
    void recordsOfARequestArrive() throws Exception {
        RecordStore store = new RecordStore();
        DecisionRecord record =
                mRecords.arrived("entry-2", RecordFixtures.CHAT, "port-office")
                        .build("overloaded", "no", false);
        store.accept(record);
        Map<VmId, Optional<String>> answers = ask("/explain/id-1", queries(store));
        assertThat(answers.get(ANSWERING).flatMap(RecordReader::array)).contains(List.of(record));
    }

    @Test
    void unknownPathIsRefused() throws Exception {
        assertThat(ask("/v1/chat/completions", queries(new RecordStore())).get(ANSWERING))
                .isEmpty();
    }

    @Test
    void answerLargerThanTheWindowArrivesCompletely() throws Exception {
        String large = "x".repeat(3 * PeerLimits.STREAM_WINDOW_BYTES);
        try (TestNode asking = new TestNode("entry-1", SECRET);
                TestNode answering = new TestNode(ANSWERING.value(), SECRET)) {
            answering.mService =
                    (request, sink) -> {
                        sink.head(new AnswerHead(200, List.of()));
                        sink.write(ByteBuffer.wrap(large.getBytes(StandardCharsets.UTF_8)))
                                .whenComplete((done, failure) -> sink.end());
                        return () -> {};
                    };
            asking.mNode.connectTo(List.of(answering.address()));
            await().atMost(Duration.ofSeconds(20)).until(() -> asking.connected(answering));
            PeerQueryClient client =
                    new PeerQueryClient(
                            new VmId("entry-1"),
                            asking.mNode,
                            () -> List.of(ANSWERING),
                            () -> new RequestId("query-1"));
            assertThat(client.ask("/burn").get(ANSWERING)).contains(large);
        }
    }
}
