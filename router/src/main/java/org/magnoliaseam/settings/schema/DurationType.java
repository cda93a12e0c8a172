package org.magnoliaseam.settings.schema;

import java.math.BigDecimal;
import java.math.RoundingMode;
import java.time.Duration;
import java.time.temporal.ChronoUnit;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.magnoliaseam.error.Result;
import org.magnoliaseam.settings.toml.TomlNode;

/** Reads a duration such as {@code "250 ms"} or {@code "8.5 s"}. */
public final class DurationType implements ValueType<Duration> {

    /** The reason for a value without a unit or with another unit. */
    public static final String WRONG_UNIT =
            "must be a string with a number and a unit (ms, s or min), such as \"250 ms\"";

    /** The reason for a value out of range. */
    public static final String OUT_OF_RANGE = "must be between %s and %s";

    /** The accepted form: a number and a unit. The bounded lengths limit the work of parsing. */
    private static final Pattern PATTERN =
            Pattern.compile("(\\d{1,9}(?:\\.\\d{1,20})?(?:[eE][+-]?\\d{1,2})?) ?(ms|s|min)");

    /** The longest duration that is parsed, in seconds. */
    private static final BigDecimal MAX_SECONDS = BigDecimal.valueOf(Long.MAX_VALUE);

    /** Nanoseconds per second. */
    private static final long NANOS_PER_SECOND = 1_000_000_000;

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
     * Parses a duration in the form that settings files use. Parts of a nanosecond are rounded.
     *
     * @param text a number and a unit
     * @return the duration, or empty if the text is malformed
     */
    public static Optional<Duration> parse(String text) {
        Matcher matcher = PATTERN.matcher(text);
        if (!matcher.matches()) {
            return Optional.empty();
        }
        Duration unit = UNITS.get(matcher.group(2)).getDuration();
        BigDecimal nanos =
                new BigDecimal(matcher.group(1))
                        .multiply(BigDecimal.valueOf(unit.toNanos()))
                        .setScale(0, RoundingMode.HALF_UP);
        BigDecimal[] parts = nanos.divideAndRemainder(BigDecimal.valueOf(NANOS_PER_SECOND));
        return parts[0].compareTo(MAX_SECONDS) > 0
                ? Optional.empty()
                : Optional.of(Duration.ofSeconds(parts[0].longValue(), parts[1].longValue()));
    }

    /**
     * Formats a duration in the form that settings files use, in whole milliseconds.
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
