package org.magnoliaseam.explain;

import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import org.magnoliaseam.error.ErrorKind;

/** Renders the records of one request as readable text for operators. */
public final class DecisionText {

    /** The outcome of a request whose caller received the complete answer. */
    private static final String COMPLETED = "completed";

    /** Prevents instances of this utility class. */
    private DecisionText() {}

    /**
     * Orders the records of one request: the entry VM of the caller first, then the peers by the
     * time at which the request reached them.
     *
     * @param records the records
     * @return the records in order
     */
    public static List<DecisionRecord> inOrder(List<DecisionRecord> records) {
        return records.stream()
                .sorted(
                        Comparator.comparing((DecisionRecord record) -> !fromCaller(record))
                                .thenComparing(DecisionText::firstEventMillis)
                                .thenComparing(DecisionRecord::arrivedEpochMillis))
                .toList();
    }

    /**
     * Renders the records of a request.
     *
     * @param records the records of one request, at least one
     * @return the text without a final line end
     */
    public static String render(List<DecisionRecord> records) {
        List<DecisionRecord> ordered = inOrder(records);
        StringBuilder text = new StringBuilder();
        heading(text, ordered);
        text.append("\nWhat happened, in milliseconds since the arrival:\n");
        timeline(text, ordered);
        DecisionRecord callerRecord = ordered.get(0);
        text.append("\nOutcome: ").append(outcome(callerRecord, ordered)).append('\n');
        text.append("Cause: ").append(DecisionCause.of(callerRecord, ordered));
        return text.toString();
    }

    /**
     * Tells whether the caller is connected to the entry VM that wrote a record.
     *
     * @param record the record
     * @return false if a peer forwarded or handed over the request
     */
    static boolean fromCaller(DecisionRecord record) {
        return record.events().stream()
                .filter(event -> event.kind() == RecordEventKind.ARRIVED)
                .allMatch(event -> event.subject().isEmpty());
    }

    /**
     * Adds the heading: class, client account and configuration versions.
     *
     * @param text the text so far
     * @param ordered the records in order
     */
    private static void heading(StringBuilder text, List<DecisionRecord> ordered) {
        DecisionRecord first = ordered.get(0);
        text.append("Request ").append(first.requestId()).append('\n');
        text.append("It belongs to class ").append(first.requestClass());
        text.append(" (").append(first.tier()).append(") and client account ");
        text.append(first.account()).append(".\n");
        if (!fromCaller(first)) {
            text.append(
                    "The record of the entry VM that the caller was connected to is missing.\n");
        }
        for (DecisionRecord record : ordered) {
            text.append("Entry VM ").append(record.entryVm()).append(" received it at ");
            text.append(Instant.ofEpochMilli(record.arrivedEpochMillis()));
            text.append(" by its own clock and decided by configuration version ");
            text.append(record.configurationVersion()).append(" with digest ");
            text.append(record.configurationDigest()).append(".\n");
        }
    }

    /**
     * Adds the events of all records in time order.
     *
     * @param text the text so far
     * @param ordered the records in order
     */
    private static void timeline(StringBuilder text, List<DecisionRecord> ordered) {
        List<Line> lines = new ArrayList<>();
        for (DecisionRecord record : ordered) {
            for (RecordEvent event : record.events()) {
                lines.add(new Line(record, event));
            }
        }
        lines.sort(Comparator.comparingLong(line -> line.event().atMillis()));
        for (Line line : lines) {
            text.append("  +").append(line.event().atMillis()).append(' ');
            text.append(line.record().entryVm()).append(": ");
            text.append(EventSentence.of(line.record(), line.event())).append('\n');
        }
    }

    /**
     * Describes what the caller was told and whether the request was run.
     *
     * @param callerRecord the record of the entry VM that answered the caller
     * @param ordered all records of the request in order
     * @return one or more sentences
     */
    private static String outcome(DecisionRecord callerRecord, List<DecisionRecord> ordered) {
        RecordSummary summary = callerRecord.summary();
        if (summary.outcome().equals(COMPLETED)) {
            String time = summary.onTime() ? "within its targets" : "later than its targets allow";
            return "The caller got the whole answer after "
                    + summary.wholeMillis()
                    + " ms, "
                    + time
                    + ", with "
                    + attempts(ordered)
                    + ". The request was run.";
        }
        String executed =
                switch (summary.executed()) {
                    case "no" -> "The request was not run.";
                    case "yes" -> "The request was run.";
                    default -> "Whether the request was run is unknown.";
                };
        Optional<ErrorKind> kind = kind(summary.outcome());
        if (kind.equals(Optional.of(ErrorKind.CALLER_GONE))) {
            return "The caller closed the connection and was told nothing. " + executed;
        }
        String message = kind.map(known -> ": " + known.message()).orElse(".");
        String retryAdvice =
                kind.filter(known -> known.retryAfterSeconds() > 0)
                        .map(known -> " It may be sent again after " + retryDelay(known) + ".")
                        .orElse("");
        return "The caller was told " + summary.outcome() + message + " " + executed + retryAdvice;
    }

    /**
     * Formats the delay after which the caller may retry.
     *
     * @param kind the error kind
     * @return the delay in seconds with its unit
     */
    private static String retryDelay(ErrorKind kind) {
        return kind.retryAfterSeconds() + " s";
    }

    /**
     * Counts the attempts at backend servers and peers.
     *
     * @param ordered all records of the request in order
     * @return the number with its noun
     */
    private static String attempts(List<DecisionRecord> ordered) {
        int attempts = ordered.stream().mapToInt(record -> record.summary().tries()).sum();
        return attempts == 1 ? "1 try" : attempts + " tries";
    }

    /**
     * Finds an error kind.
     *
     * @param outcome the outcome
     * @return the kind; empty if the outcome is not an error
     */
    private static Optional<ErrorKind> kind(String outcome) {
        for (ErrorKind kind : ErrorKind.values()) {
            if (kind.text().equals(outcome)) {
                return Optional.of(kind);
            }
        }
        return Optional.empty();
    }

    /**
     * Returns the time of the first event.
     *
     * @param record the record
     * @return the time since arrival in milliseconds; 0 if there are no events
     */
    private static long firstEventMillis(DecisionRecord record) {
        return record.events().isEmpty() ? 0 : record.events().get(0).atMillis();
    }

    /**
     * Holds an event and the record that contains it.
     *
     * @param record the record
     * @param event the event
     */
    private record Line(DecisionRecord record, RecordEvent event) {}
}
