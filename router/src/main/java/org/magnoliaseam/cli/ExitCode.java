package org.magnoliaseam.cli;

/** Lists the exit codes of the program. */
public enum ExitCode {
    /** The command succeeded. */
    DONE(0),
    /** The command failed. */
    FAILED(1),
    /** The command line or an input file is malformed. */
    USAGE(2);

    /** The number that the process returns. */
    private final int mCode;

    /**
     * Creates an exit code.
     *
     * @param code the number that the process returns
     */
    ExitCode(int code) {
        mCode = code;
    }

    /**
     * Returns the number that the process returns.
     *
     * @return the number
     */
    public int code() {
        return mCode;
    }
}
