package org.magnoliaseam.error;

/**
 * States why a request was refused.
 *
 * @param kind the kind, which determines the response
 * @param detail one sentence for the caller and the log, without keys, prompts or answers
 */
public record Refusal(ErrorKind kind, String detail) {

    /**
     * Creates a refusal with the standard message of its kind.
     *
     * @param kind the kind
     * @return the refusal
     */
    public static Refusal of(ErrorKind kind) {
        return new Refusal(kind, kind.message());
    }
}
