package org.magnoliaseam.pushback;

import java.util.Optional;

/**
 * Holds the retry delay of an answer.
 *
 * @param millis the time for which the backend server wants no requests of this entry VM, in
 *     milliseconds; 0 if it asks for none
 * @param fault what is wrong with the value, if anything
 */
public record PushbackNotice(long millis, Optional<NoticeFault> fault) {

    /** The longest time that counts, in milliseconds. */
    public static final long MAX_MILLIS = 300_000;

    /** An answer without a retry delay. */
    public static final PushbackNotice NONE = new PushbackNotice(0, Optional.empty());

    /**
     * Creates the notice for a faulty value.
     *
     * @param millis the time that counts in milliseconds
     * @param fault what is wrong
     * @return the notice
     */
    public static PushbackNotice faulty(long millis, NoticeFault fault) {
        return new PushbackNotice(millis, Optional.of(fault));
    }
}
