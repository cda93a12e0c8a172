package org.magnoliaseam.route;

import org.magnoliaseam.error.ErrorKind;
import org.magnoliaseam.error.Refusal;
import org.magnoliaseam.exchange.AnswerSink;
import org.magnoliaseam.exchange.AuthenticatedRequest;
import org.magnoliaseam.exchange.Cancellation;
import org.magnoliaseam.explain.RecordBuilder;
import org.magnoliaseam.explain.RecordEventKind;
import org.magnoliaseam.explain.RecordSink;
import org.magnoliaseam.relay.ChatProgress;

/**
 * Holds a request and its context until it is queued or refused.
 *
 * @param request the request
 * @param sink receives the answer for the caller
 * @param record the decision record
 * @param progress the part of a chat answer that the caller already has
 */
record Admission(
        AuthenticatedRequest request,
        AnswerSink sink,
        RecordBuilder record,
        ChatProgress progress) {

    /**
     * Refuses the request before it is queued and writes its record.
     *
     * @param kind the kind of refusal
     * @param records receives the record
     * @return a cancellation without effect
     */
    Cancellation refuse(ErrorKind kind, RecordSink records) {
        record.add(RecordEventKind.REFUSED_EARLY, kind.text(), kind.message());
        sink.refuse(Refusal.of(kind));
        records.accept(record.build(kind.text(), kind.executed().text(), false));
        return () -> {};
    }

    /**
     * Returns the same request with another sink.
     *
     * @param other the other sink
     * @return the request
     */
    Admission withSink(AnswerSink other) {
        return new Admission(request, other, record, progress);
    }
}
