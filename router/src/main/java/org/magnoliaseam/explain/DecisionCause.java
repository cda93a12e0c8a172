package org.magnoliaseam.explain;

import java.util.ArrayList;
import java.util.List;

/** Determines why a request was late, was refused or deviated from the usual path. */
final class DecisionCause {

    /** The outcome of a request whose caller received the complete answer. */
    private static final String COMPLETED = "completed";

    /** Prevents instances of this utility class. */
    private DecisionCause() {}

    /**
     * Describes the cause of the outcome.
     *
     * @param callerRecord the record of the entry VM that answered the caller
     * @param ordered all records of the request in order
     * @return one or more sentences
     */
    static String of(DecisionRecord callerRecord, List<DecisionRecord> ordered) {
        List<String> causes = new ArrayList<>();
        for (DecisionRecord record : ordered) {
            addCauses(causes, record);
        }
        RecordSummary summary = callerRecord.summary();
        boolean late = summary.outcome().equals(COMPLETED) && !summary.onTime();
        if (late && summary.queueMillis() * 2 > summary.wholeMillis()) {
            causes.add("It waited " + summary.queueMillis() + " ms in the queue.");
        } else if (late && causes.isEmpty()) {
            causes.add("Backend server " + summary.backendServer() + " was slow.");
        }
        return causes.isEmpty() ? "Nothing out of the ordinary." : String.join(" ", causes);
    }

    /**
     * Adds the causes found in one record.
     *
     * @param causes the sentences so far
     * @param record the record
     */
    private static void addCauses(List<String> causes, DecisionRecord record) {
        boolean cancelled = false;
        for (RecordEvent event : record.events()) {
            boolean failedByPreemption = cancelled && event.kind() == RecordEventKind.TRY_FAILED;
            if (!failedByPreemption && isCause(event.kind())) {
                causes.add(EventSentence.of(record, event));
            }
            if (event.kind() == RecordEventKind.PREEMPTED) {
                cancelled = true;
            } else if (event.kind() == RecordEventKind.STARTED) {
                cancelled = false;
            }
        }
    }

    /**
     * Tells whether an event explains an outcome.
     *
     * @param kind the kind of the event
     * @return true if it does
     */
    private static boolean isCause(RecordEventKind kind) {
        return switch (kind) {
            case REFUSED_EARLY,
                    FORWARDED_HOME,
                    HELD_BACK,
                    TRY_FAILED,
                    PREEMPTED,
                    RESUMED,
                    HANDED_OVER,
                    CALLER_GONE,
                    REFUSED ->
                    true;
            default -> false;
        };
    }
}
