package org.magnoliaseam.burn;

import java.util.Locale;

/** Lists the reasons for which a request misses its targets. */
public enum BurnCause {
    /** The answer would have been in time without the wait in the queue. */
    QUEUE_WAIT("The answer was late, and in time without the wait in the queue."),
    /** The backend server was slow. */
    BACKEND_SERVER("The backend server was slow."),
    /** The request was refused or ended in an error. */
    REFUSAL("The request was refused or ended in an error."),
    /** The answer was late after a failed attempt. */
    RETRY("The answer was late after a failed try."),
    /** The backend server or its failure domain was taken out of service. */
    FAILURE_DOMAIN_MOVE("The backend server or its failure domain was taken out of service."),
    /** The request was cancelled for a request of a higher tier. */
    PREEMPTION("The request was cancelled for a higher tier.");

    /** The sentence that explains the cause. */
    private final String mSentence;

    /**
     * Creates a cause.
     *
     * @param sentence the sentence that explains the cause
     */
    BurnCause(String sentence) {
        mSentence = sentence;
    }

    /**
     * Returns the sentence that explains the cause.
     *
     * @return the sentence
     */
    public String sentence() {
        return mSentence;
    }

    /**
     * Returns the spelling in reports.
     *
     * @return the name in lower case
     */
    public String text() {
        return name().toLowerCase(Locale.ROOT);
    }
}
