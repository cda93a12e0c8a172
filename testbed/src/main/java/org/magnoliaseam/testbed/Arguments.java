package org.magnoliaseam.testbed;

import java.util.List;
import java.util.Optional;
import org.apache.commons.cli.CommandLine;

/** Gives typed access to the options of a command. */
public final class Arguments {

    /** The parsed command line. */
    private final CommandLine mLine;

    /**
     * Wraps a parsed command line.
     *
     * @param line the command line
     */
    Arguments(CommandLine line) {
        mLine = line;
    }

    /**
     * Tells whether an option is given.
     *
     * @param name the option
     * @return whether it is given
     */
    public boolean has(String name) {
        return mLine.hasOption(name);
    }

    /**
     * Returns the value of an option.
     *
     * @param name the option
     * @return the value, if given
     */
    public Optional<String> text(String name) {
        return Optional.ofNullable(mLine.getOptionValue(name));
    }

    /**
     * Returns the value of an option.
     *
     * @param name the option
     * @param fallback the value if the option is not given
     * @return the value
     */
    public String text(String name, String fallback) {
        return mLine.getOptionValue(name, fallback);
    }

    /**
     * Returns all values of an option that may be repeated.
     *
     * @param name the option
     * @return the values in order
     */
    public List<String> all(String name) {
        String[] values = mLine.getOptionValues(name);
        return values == null ? List.of() : List.of(values);
    }

    /**
     * Returns the value of an option as an integer.
     *
     * @param name the option
     * @param fallback the value if the option is not given
     * @return the number
     */
    public int integer(String name, int fallback) {
        return text(name).map(Integer::parseInt).orElse(fallback);
    }

    /**
     * Returns the value of an option as a decimal number.
     *
     * @param name the option
     * @param fallback the value if the option is not given
     * @return the number
     */
    public double decimal(String name, double fallback) {
        return text(name).map(Double::parseDouble).orElse(fallback);
    }
}
