package org.magnoliaseam.cli;

import org.apache.commons.cli.CommandLine;
import org.magnoliaseam.error.Result;

/** Prints pages from the operators' port. */
final class PagePrinter {

    /** The streams to write to. */
    private final Console mConsole;

    /**
     * Creates a printer.
     *
     * @param console the streams to write to
     */
    PagePrinter(Console console) {
        mConsole = console;
    }

    /**
     * Prints a page.
     *
     * @param line the parsed command line, which holds the address
     * @param path the path and query of the page
     * @return the exit code
     * @throws UsageException if the address is malformed
     */
    int print(CommandLine line, String path) throws UsageException {
        return read(line, path).fold(this::succeed, this::fail);
    }

    /**
     * Reads a page.
     *
     * @param line the parsed command line, which holds the address
     * @param path the path and query of the page
     * @return the body, or one sentence that states why the read failed
     * @throws UsageException if the address is malformed
     */
    Result<String, String> read(CommandLine line, String path) throws UsageException {
        String text = line.getOptionValue(CommandOptions.ADDRESS);
        OperatorsAddress address = OperatorsAddress.parse(text);
        return new OperatorsClient(mConsole, SlowNotice.DELAY).read(address, path);
    }

    /**
     * Prints a body.
     *
     * @param body the body
     * @return the exit code
     */
    int succeed(String body) {
        mConsole.out().println(body.stripTrailing());
        return ExitCode.DONE.code();
    }

    /**
     * Prints an error.
     *
     * @param message one sentence
     * @return the exit code
     */
    int fail(String message) {
        mConsole.error(message);
        return ExitCode.FAILED.code();
    }
}
