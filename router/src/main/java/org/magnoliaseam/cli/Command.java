package org.magnoliaseam.cli;

import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Options;

/** Represents one command of the program. */
public interface Command {

    /**
     * Returns the name of the command on the command line.
     *
     * @return the name
     */
    String name();

    /**
     * Returns the synopsis of the command without the program's name.
     *
     * @return name, options and arguments
     */
    String synopsis();

    /**
     * Returns what the command does.
     *
     * @return one sentence
     */
    String description();

    /**
     * Returns the options of the command.
     *
     * @return the options
     */
    Options options();

    /**
     * Runs the command.
     *
     * @param line the parsed command line, without the command's name
     * @param console the streams to write to
     * @return the exit code of the process
     * @throws UsageException if the command line is malformed
     */
    int run(CommandLine line, Console console) throws UsageException;
}
