package org.magnoliaseam.explain;

/** Describes the events of a request in full sentences. */
final class EventSentence {

    /** Prevents instances of this utility class. */
    private EventSentence() {}

    /**
     * Describes an event.
     *
     * @param record the record of the event
     * @param event the event
     * @return one or two sentences
     */
    static String of(DecisionRecord record, RecordEvent event) {
        String subject = event.subject();
        String reason = reason(event);
        return switch (event.kind()) {
            case ARRIVED -> arrived(record, event);
            case REFUSED_EARLY -> "It was refused before it was queued, as " + subject + reason;
            case TICKET -> "Its ticket " + subject + " was judged. " + ticketResult(event.detail());
            case FORWARDED_HOME ->
                    "It was passed to entry VM " + subject + ", which issued its ticket.";
            case QUEUED -> "It entered the queue of " + event.detail() + ".";
            case STARTED -> "The dispatcher chose backend server " + subject + reason;
            case HELD_BACK ->
                    "Right before sending, the try at " + subject + " was held back" + reason;
            case SENDING -> "The try went out to " + subject + "; it may have run from here on.";
            default -> afterSending(event);
        };
    }

    /**
     * Describes an event that can occur after sending has started.
     *
     * @param event the event
     * @return one sentence
     */
    private static String afterSending(RecordEvent event) {
        String subject = event.subject();
        String reason = reason(event);
        return switch (event.kind()) {
            case FIRST_TOKEN -> "The first part of the answer from " + subject + " was relayed.";
            case TRY_FAILED -> "The try at " + subject + " ended without a whole answer" + reason;
            case RETRIED -> "Another try was allowed after " + subject + " failed" + reason;
            case PREEMPTED -> "It was cancelled at " + subject + " to free the slot" + reason;
            case RESUMED -> "The answer is resumed at " + subject + reason;
            case HANDED_OVER -> "It was handed over to entry VM " + subject + reason;
            case LATE_ANSWER -> "A late answer from " + subject + " was dropped" + reason;
            case CALLER_GONE -> "The caller closed the connection.";
            case REFUSED -> "The caller was told " + subject + reason;
            case COMPLETED -> completed(subject, event.detail());
            default -> event.kind().sentence();
        };
    }

    /**
     * Ends a text with a full stop.
     *
     * @param text the text
     * @return the sentence
     */
    private static String sentence(String text) {
        return text.endsWith(".") ? text : text + ".";
    }

    /**
     * Formats the recorded reason of an event as the end of a sentence.
     *
     * @param event the event
     * @return the end of the sentence
     */
    private static String reason(RecordEvent event) {
        return event.detail().isEmpty() ? "." : ": " + sentence(event.detail());
    }

    /**
     * Describes the arrival.
     *
     * @param record the record
     * @param event the event
     * @return the sentence
     */
    private static String arrived(DecisionRecord record, RecordEvent event) {
        String where = "at entry VM " + record.entryVm();
        return switch (event.subject()) {
            case "" -> "The request " + event.detail() + " arrived " + where + ".";
            case "TICKET_HOME" ->
                    "The request arrived "
                            + where
                            + " from a peer, because its ticket was issued"
                            + " here.";
            case "HAND_OVER" ->
                    "The request arrived " + where + " from a peer, which handed it over.";
            default -> "The request arrived " + where + " from a peer.";
        };
    }

    /**
     * Explains the result of a ticket check.
     *
     * @param ticketResult the recorded result with a full stop
     * @return the sentence
     */
    private static String ticketResult(String ticketResult) {
        return switch (ticketResult) {
            case "Run." ->
                    "This entry VM issued it and it was unused, so that the request may run.";
            case "NotHome." -> "Another run of an entry VM issued it, and only that may run it.";
            case "Replay." -> "It was used before; the kept answer is sent again.";
            case "Refused." -> "It was used before; the kept refusal is sent again.";
            case "InProgress." -> "A request with it is still running.";
            case "Mismatch." -> "It belongs to another account or body.";
            case "ExpiredUnused." -> "It expired before it was used.";
            case "Expired." -> "It expired, and whether it was used is no longer known.";
            default -> "The judgement was " + ticketResult;
        };
    }

    /**
     * Describes the end of a complete answer.
     *
     * @param subject the backend server or peer that answered; may be empty
     * @param detail how the answer was obtained; may be empty
     * @return the sentence
     */
    private static String completed(String subject, String detail) {
        String whole =
                subject.isEmpty()
                        ? "The answer is whole"
                        : "The answer from " + subject + " is whole";
        return whole + (detail.isEmpty() ? "." : ": " + sentence(detail));
    }
}
