package org.magnoliaseam.platform;

import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalInt;
import java.util.regex.Pattern;
import org.magnoliaseam.gateway.ReportedLoad;
import org.magnoliaseam.pushback.NoticeFault;
import org.magnoliaseam.speed.ServerSpeed;

/**
 * Decodes the header field in which a backend server reports its load: the running and waiting
 * requests, the slots and, from some servers, the time that work takes in percent of the usual one.
 */
final class LoadHeader {

    /** The count of values without the factor. */
    private static final int LOAD_VALUES = 3;

    /** The longest value that is parsed, in characters. */
    private static final int MAX_VALUE_LENGTH = 32;

    /** The longest field that is split into values, in characters. */
    private static final int MAX_LENGTH = 256;

    /** A count; nine digits fit an int. */
    private static final Pattern COUNT = Pattern.compile("\\+?\\d{1,9}");

    /** A decimal number. */
    private static final Pattern NUMBER =
            Pattern.compile("[+-]?(\\d+(\\.\\d*)?|\\.\\d+)([eE][+-]?\\d{1,3})?");

    /** The factor of the usual time, in percent. */
    private static final double USUAL_PERCENT = 100;

    /** Prevents instances of this utility class. */
    private LoadHeader() {}

    /**
     * Holds what a field says.
     *
     * @param load the load; empty if the field is malformed
     * @param fault what is wrong, if anything
     */
    record Decoded(Optional<ReportedLoad> load, Optional<NoticeFault> fault) {

        /** A malformed field. */
        private static final Decoded MALFORMED =
                new Decoded(Optional.empty(), Optional.of(NoticeFault.MALFORMED_LOAD));
    }

    /**
     * Decodes a field. A factor that cannot be used leaves the load valid and the factor unknown.
     *
     * @param text the value of the field
     * @return what it says
     */
    static Decoded decode(String text) {
        if (text.length() > MAX_LENGTH) {
            return withoutLongFactor(text);
        }
        return decode(text.split(",", -1));
    }

    /**
     * Decodes a field that is too long to be valid, unless only its factor is.
     *
     * @param text the value of the field
     * @return what it says
     */
    private static Decoded withoutLongFactor(String text) {
        String[] values = text.split(",", LOAD_VALUES + 1);
        return values.length == LOAD_VALUES + 1 && values[LOAD_VALUES].indexOf(',') < 0
                ? decode(values)
                : Decoded.MALFORMED;
    }

    /**
     * Decodes the values of a field.
     *
     * @param values the values
     * @return what they say
     */
    private static Decoded decode(String[] values) {
        if (values.length < LOAD_VALUES || values.length > LOAD_VALUES + 1) {
            return Decoded.MALFORMED;
        }
        OptionalInt running = count(values[0]);
        OptionalInt waiting = count(values[1]);
        OptionalInt slots = count(values[2]);
        if (running.isEmpty() || waiting.isEmpty() || slots.isEmpty()) {
            return Decoded.MALFORMED;
        }
        OptionalDouble factor = OptionalDouble.empty();
        Optional<NoticeFault> fault = Optional.empty();
        if (values.length > LOAD_VALUES) {
            factor = factor(values[LOAD_VALUES]);
            fault = factor.isEmpty() ? Optional.of(NoticeFault.UNUSABLE_FACTOR) : fault;
        }
        ReportedLoad load =
                new ReportedLoad(running.getAsInt(), waiting.getAsInt(), slots.getAsInt(), factor);
        return new Decoded(Optional.of(load), fault);
    }

    /**
     * Parses a count.
     *
     * @param text the text
     * @return the count; empty if it is malformed, negative or too large
     */
    private static OptionalInt count(String text) {
        String stripped = text.strip();
        return COUNT.matcher(stripped).matches()
                ? OptionalInt.of(Integer.parseInt(stripped))
                : OptionalInt.empty();
    }

    /**
     * Parses a factor.
     *
     * @param text the text, in percent
     * @return the factor, 1 for the usual time; empty if it is malformed or out of bounds
     */
    private static OptionalDouble factor(String text) {
        String stripped = text.strip();
        if (stripped.length() > MAX_VALUE_LENGTH || !NUMBER.matcher(stripped).matches()) {
            return OptionalDouble.empty();
        }
        double factor = Double.parseDouble(stripped) / USUAL_PERCENT;
        return ServerSpeed.accepts(factor) ? OptionalDouble.of(factor) : OptionalDouble.empty();
    }
}
