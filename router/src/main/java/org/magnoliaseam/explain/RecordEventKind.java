package org.magnoliaseam.explain;

import java.util.Locale;

/** Lists the events that can occur while a request is processed. */
public enum RecordEventKind {
    /** The request arrived and was authenticated. */
    ARRIVED("The request arrived and was authenticated."),
    /** The request was refused before it was queued. */
    REFUSED_EARLY("The request was refused before it was queued."),
    /** The ticket of the request was checked. */
    TICKET("The ticket of the request was judged."),
    /** The request was forwarded to the entry VM that issued its ticket. */
    FORWARDED_HOME("The request was passed to the entry VM that issued its ticket."),
    /** The request entered the queue. */
    QUEUED("The request entered the queue."),
    /** The dispatcher chose a backend server. */
    STARTED("The dispatcher chose a backend server."),
    /** The check right before sending found that the dispatch decision no longer holds. */
    HELD_BACK("The check before sending found old facts."),
    /** Sending started; from here on the request may have been run. */
    SENDING("A byte of the request may have left."),
    /** The first token was relayed. */
    FIRST_TOKEN("The first token was relayed."),
    /** An attempt failed. */
    TRY_FAILED("A try failed."),
    /** Another attempt was allowed. */
    RETRIED("Another try was allowed."),
    /** The request was cancelled for a request of a higher tier. */
    PREEMPTED("The request was cancelled for a higher tier."),
    /** The answer resumes after the tokens that were already relayed. */
    RESUMED("The answer is resumed behind the relayed tokens."),
    /** The request was handed over to a peer with free capacity. */
    HANDED_OVER("The request was passed to a peer with room."),
    /** An answer of an earlier attempt was dropped. */
    LATE_ANSWER("An answer of an earlier try was dropped."),
    /** The caller closed the connection. */
    CALLER_GONE("The caller closed the connection."),
    /** The caller received an error. */
    REFUSED("The caller was told a refusal."),
    /** The caller received the complete answer. */
    COMPLETED("The caller got the whole answer.");

    /** The sentence that explains the event. */
    private final String mSentence;

    /**
     * Creates a kind.
     *
     * @param sentence the sentence that explains the event
     */
    RecordEventKind(String sentence) {
        mSentence = sentence;
    }

    /**
     * Returns the sentence that explains the event.
     *
     * @return the sentence
     */
    public String sentence() {
        return mSentence;
    }

    /**
     * Returns the spelling in logs.
     *
     * @return the name in lower case
     */
    public String text() {
        return name().toLowerCase(Locale.ROOT);
    }
}
