package org.magnoliaseam.testbed;

import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;

/** Declares and parses the long options of a command. */
public final class CommandLineParser {

    /** The declared options. */
    private final Options mOptions = new Options();

    /**
     * Declares an option that must be given.
     *
     * @param name the name without dashes
     * @return this parser
     */
    public CommandLineParser required(String name) {
        mOptions.addOption(Option.builder().longOpt(name).hasArg().required().get());
        return this;
    }

    /**
     * Declares options that may be absent or repeated.
     *
     * @param names the names without dashes
     * @return this parser
     */
    public CommandLineParser optional(String... names) {
        for (String name : names) {
            mOptions.addOption(Option.builder().longOpt(name).hasArg().get());
        }
        return this;
    }

    /**
     * Declares an option without a value.
     *
     * @param name the name without dashes
     * @return this parser
     */
    public CommandLineParser flag(String name) {
        mOptions.addOption(Option.builder().longOpt(name).get());
        return this;
    }

    /**
     * Parses a command line.
     *
     * @param args the arguments
     * @return the parsed options
     * @throws IllegalArgumentException if the arguments do not fit the declaration
     */
    public Arguments parse(String... args) {
        try {
            CommandLine line = new DefaultParser().parse(mOptions, args);
            if (!line.getArgList().isEmpty()) {
                throw new IllegalArgumentException("Unexpected argument " + line.getArgList());
            }
            return new Arguments(line);
        } catch (ParseException e) {
            throw new IllegalArgumentException(e.getMessage(), e);
        }
    }
}
