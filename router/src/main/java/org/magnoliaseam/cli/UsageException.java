package org.magnoliaseam.cli;

/** Reports a malformed command line. */
public final class UsageException extends Exception {

    /** The version of the serialized form. */
    private static final long serialVersionUID = 1L;

    /**
     * Creates an exception.
     *
     * @param message one sentence that states what is wrong
     */
    public UsageException(String message) {
        super(message);
    }
}
