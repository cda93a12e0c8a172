package org.magnoliaseam.cli;

import java.nio.file.InvalidPathException;
import java.nio.file.Path;
import java.util.List;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;

/** Creates command-line options and reads their values. */
final class CommandOptions {

    /** The option that holds the address of the operators' port. */
    static final String ADDRESS = "address";

    /** Prevents instances of this utility class. */
    private CommandOptions() {}

    /**
     * Creates a required option.
     *
     * @param name the long name
     * @param argument the name of the value in the help
     * @param description a phrase for the help
     * @return the option
     */
    static Option required(String name, String argument, String description) {
        return builder(name, argument, description).required().get();
    }

    /**
     * Creates an optional option.
     *
     * @param name the long name
     * @param argument the name of the value in the help
     * @param description a phrase for the help
     * @return the option
     */
    static Option optional(String name, String argument, String description) {
        return builder(name, argument, description).get();
    }

    /**
     * Creates the options of a command that reads a page from the operators' port.
     *
     * @return the options, with the address as the only one
     */
    static Options withAddress() {
        return new Options()
                .addOption(required(ADDRESS, "HOST:PORT", "the operators' port of an entry VM"));
    }

    /**
     * Reads the name of a file.
     *
     * @param line the parsed command line
     * @param name the long name of the option
     * @return the file
     * @throws UsageException if the text cannot name a file
     */
    static Path file(CommandLine line, String name) throws UsageException {
        String text = line.getOptionValue(name);
        try {
            return Path.of(text);
        } catch (InvalidPathException e) {
            throw new UsageException("--" + name + " must name a file, not \"" + text + "\"");
        }
    }

    /**
     * Rejects arguments that a command does not take.
     *
     * @param line the parsed command line
     * @throws UsageException if there are arguments
     */
    static void requireNoArguments(CommandLine line) throws UsageException {
        List<String> arguments = line.getArgList();
        if (!arguments.isEmpty()) {
            throw new UsageException("unexpected argument \"" + arguments.get(0) + "\"");
        }
    }

    /**
     * Creates the builder of an option.
     *
     * @param name the long name
     * @param argument the name of the value in the help
     * @param description a phrase for the help
     * @return the builder
     */
    private static Option.Builder builder(String name, String argument, String description) {
        return Option.builder().longOpt(name).hasArg().argName(argument).desc(description);
    }
}
