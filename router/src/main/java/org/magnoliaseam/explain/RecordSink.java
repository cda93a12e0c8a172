package org.magnoliaseam.explain;

/** Receives the decision record of each request after the request has ended. */
@FunctionalInterface
public interface RecordSink {

    /**
     * Receives a record.
     *
     * @param record the record
     */
    void accept(DecisionRecord record);
}
