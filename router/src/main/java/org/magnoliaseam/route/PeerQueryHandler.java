package org.magnoliaseam.route;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import org.magnoliaseam.burn.BurnCountsJson;
import org.magnoliaseam.burn.BurnRecorder;
import org.magnoliaseam.error.ErrorKind;
import org.magnoliaseam.error.Refusal;
import org.magnoliaseam.exchange.AnswerHead;
import org.magnoliaseam.exchange.AnswerSink;
import org.magnoliaseam.explain.DecisionRecord;
import org.magnoliaseam.explain.RecordJson;
import org.magnoliaseam.explain.RecordStore;
import org.magnoliaseam.model.Identifiers;
import org.magnoliaseam.model.RequestId;

/** Answers operator queries from peers, using only data in the memory of this process. */
public final class PeerQueryHandler {

    /** The path of the counts for the report on service-level burn. */
    public static final String BURN = "/burn";

    /** The path prefix of the decision records of a request. */
    public static final String EXPLAIN = "/explain/";

    /** The HTTP status of an answer. */
    private static final int OK = 200;

    /** Counts requests for the report on service-level burn. */
    private final BurnRecorder mBurn;

    /** The decision records. */
    private final RecordStore mRecords;

    /**
     * Creates a handler.
     *
     * @param burn counts requests for the report on service-level burn
     * @param records the decision records
     */
    public PeerQueryHandler(BurnRecorder burn, RecordStore records) {
        mBurn = burn;
        mRecords = records;
    }

    /**
     * Answers a query.
     *
     * @param path the requested path
     * @param sink receives the answer
     */
    public void answer(String path, AnswerSink sink) {
        Optional<String> text = text(path);
        if (text.isEmpty()) {
            sink.refuse(Refusal.of(ErrorKind.NOT_FOUND));
            return;
        }
        sink.head(new AnswerHead(OK, List.of()));
        ByteBuffer bytes = ByteBuffer.wrap(text.get().getBytes(StandardCharsets.UTF_8));
        sink.write(bytes).whenComplete((done, failure) -> sink.end());
    }

    /**
     * Creates the text of an answer.
     *
     * @param path the requested path
     * @return the text, or empty if the path is unknown
     */
    private Optional<String> text(String path) {
        if (path.equals(BURN)) {
            return Optional.of(BurnCountsJson.encode(mBurn.read()));
        }
        String id = path.startsWith(EXPLAIN) ? path.substring(EXPLAIN.length()) : "";
        if (!Identifiers.isValid(id)) {
            return Optional.empty();
        }
        List<DecisionRecord> records = mRecords.find(new RequestId(id));
        return Optional.of(RecordJson.array(records).toString());
    }
}
