package org.magnoliaseam.settings.schema;

import java.time.Duration;
import java.time.temporal.ChronoUnit;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.magnoliaseam.error.Result;
import org.magnoliaseam.settings.toml.TomlNode;

/** Reads a duration such as {@code "250 ms"}. */
public final class DurationType implements ValueType<Duration> {

    /** The reason for a value without a unit or with another unit. */
    public static final String WRONG_UNIT =
            "must be a string with a whole number and a unit (ms, s or min), such as \"250 ms\"";

    /** The reason for a value out of range. */
    public static final String OUT_OF_RANGE = "must be between %s and %s";

    /** The accepted form: a number and a unit. */
    private static final Pattern PATTERN = Pattern.compile("(\\d{1,9}) ?(ms|s|min)");

    /** The units by their abbreviation. */
    private static final Map<String, ChronoUnit> UNITS =
            Map.of("ms", ChronoUnit.MILLIS, "s", ChronoUnit.SECONDS, "min", ChronoUnit.MINUTES);

    /** The smallest accepted value. */
    private final Duration mMin;

    /** The largest accepted value. */
    private final Duration mMax;

    /**
     * Creates a type.
     *
     * @param min the smallest accepted value
     * @param max the largest accepted value
     */
    public DurationType(Duration min, Duration max) {
        mMin = min;
        mMax = max;
    }

    @Override
    public Result<Duration, List<ValueFault>> parse(TomlNode node) {
        Optional<Duration> parsed =
                node instanceof TomlNode.Scalar scalar && scalar.value() instanceof String text
                        ? parse(text)
                        : Optional.empty();
        if (parsed.isEmpty()) {
            return ValueType.fault(node, WRONG_UNIT);
        }
        Duration value = parsed.get();
        if (value.compareTo(mMin) < 0 || value.compareTo(mMax) > 0) {
            return ValueType.fault(node, OUT_OF_RANGE.formatted(format(mMin), format(mMax)));
        }
        return Result.ok(value);
    }

    /**
     * Parses a duration in the form that settings files use.
     *
     * @param text a number and a unit
     * @return the duration, or empty if the text is malformed
     */
    public static Optional<Duration> parse(String text) {
        Matcher matcher = PATTERN.matcher(text);
        if (!matcher.matches()) {
            return Optional.empty();
        }
        long number = Long.parseLong(matcher.group(1));
        return Optional.of(Duration.of(number, UNITS.get(matcher.group(2))));
    }

    /**
     * Formats a duration in the form that settings files use.
     *
     * @param value the duration
     * @return a number and a unit
     */
    public static String format(Duration value) {
        if (value.toMillisPart() != 0) {
            return value.toMillis() + " ms";
        }
        boolean wholeMinutes = value.toSecondsPart() == 0 && !value.isZero();
        return wholeMinutes ? value.toMinutes() + " min" : value.toSeconds() + " s";
    }
}
