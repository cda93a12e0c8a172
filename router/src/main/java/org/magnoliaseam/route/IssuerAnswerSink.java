package org.magnoliaseam.route;

import java.nio.ByteBuffer;
import java.util.concurrent.CompletableFuture;
import org.magnoliaseam.error.ErrorKind;
import org.magnoliaseam.error.Executed;
import org.magnoliaseam.error.Refusal;
import org.magnoliaseam.exchange.AnswerHead;
import org.magnoliaseam.exchange.AnswerSink;
import org.magnoliaseam.explain.RecordBuilder;
import org.magnoliaseam.explain.RecordEventKind;
import org.magnoliaseam.explain.RecordSink;

/**
 * Relays the answer of the entry VM that issued a ticket to the caller and completes the decision
 * record. A failed write is the last call, so it ends the request.
 */
final class IssuerAnswerSink implements AnswerSink {

    /** Receives the answer for the caller. */
    private final AnswerSink mSink;

    /** The decision record. */
    private final RecordBuilder mRecord;

    /** Receives the decision record. */
    private final RecordSink mRecords;

    /** Runs when the request has ended. */
    private final Runnable mOnEnd;

    /**
     * Creates a sink.
     *
     * @param sink receives the answer for the caller
     * @param record the decision record
     * @param records receives the decision record
     * @param onEnd runs when the request has ended
     */
    IssuerAnswerSink(AnswerSink sink, RecordBuilder record, RecordSink records, Runnable onEnd) {
        mSink = sink;
        mRecord = record;
        mRecords = records;
        mOnEnd = onEnd;
    }

    @Override
    public void head(AnswerHead head) {
        mRecord.token();
        mSink.head(head);
    }

    @Override
    public CompletableFuture<Void> write(ByteBuffer bytes) {
        return mSink.write(bytes)
                .whenComplete(
                        (ignored, failure) -> {
                            if (failure != null) {
                                refuse(Refusal.of(ErrorKind.CALLER_GONE));
                            }
                        });
    }

    @Override
    public void end() {
        mRecord.add(RecordEventKind.COMPLETED, "", "The issuing entry VM answered.");
        mSink.end();
        finish("completed", Executed.YES, true);
    }

    @Override
    public void refuse(Refusal refusal) {
        boolean unreachable = refusal.kind() == ErrorKind.NO_BACKEND_SERVER;
        Refusal reported = unreachable ? Refusal.of(ErrorKind.OUTCOME_UNKNOWN) : refusal;
        mRecord.add(RecordEventKind.REFUSED, reported.kind().text(), refusal.detail());
        mSink.refuse(reported);
        finish(reported.kind().text(), reported.kind().executed(), false);
    }

    /**
     * Completes the record.
     *
     * @param outcome the outcome
     * @param executed whether the request was run
     * @param whole whether the caller received the complete answer
     */
    private void finish(String outcome, Executed executed, boolean whole) {
        mRecords.accept(mRecord.build(outcome, executed.text(), whole));
        mOnEnd.run();
    }
}
