package org.magnoliaseam.cli;

import java.io.PrintStream;

/**
 * Holds the streams that a command writes to.
 *
 * @param out receives results
 * @param err receives errors and notices
 */
public record Console(PrintStream out, PrintStream err) {

    /** The program's name, which prefixes every error message. */
    public static final String PROGRAM = "magnoliaseam";

    /**
     * Writes an error or a notice as one line to the error stream.
     *
     * @param message one sentence
     */
    public void error(String message) {
        err.println(PROGRAM + ": " + message);
    }
}
