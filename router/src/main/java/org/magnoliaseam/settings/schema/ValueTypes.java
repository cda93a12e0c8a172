package org.magnoliaseam.settings.schema;

import java.net.InetSocketAddress;
import java.net.URI;
import java.time.Duration;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.function.Function;
import java.util.regex.Pattern;
import java.util.stream.Collectors;
import org.magnoliaseam.model.Identifiers;

/** Creates the value types that several keys share. */
public final class ValueTypes {

    /** Reads true or false. */
    public static final ValueType<Boolean> BOOLEAN = new BooleanType();

    /** Reads an {@code http} address of a host and a port. */
    public static final ValueType<URI> HTTP_ADDRESS =
            new TextType<>("an address such as \"http://192.0.2.1:9001\"", Addresses::httpAddress);

    /** Reads an IP address and a port. */
    public static final ValueType<InetSocketAddress> SOCKET_ADDRESS =
            new TextType<>(
                    "an IP number and a port such as \"192.0.2.1:7001\"", Addresses::socketAddress);

    /** Reads the name of a file; it may be empty. */
    public static final ValueType<String> FILE_NAME =
            new TextType<>("the name of a file", ValueTypes::fileName);

    /** Reads the hashes of keys. */
    public static final ValueType<List<String>> KEY_HASHES =
            new ListType<>(
                    new TextType<>(
                            "a SHA-256 hash of 64 lower-case hexadecimal digits",
                            text -> matching("[0-9a-f]{64}", text)));

    /** Reads HTTP methods. */
    public static final ValueType<List<String>> HTTP_METHODS =
            new ListType<>(
                    new TextType<>(
                            "an HTTP method in upper case such as \"POST\"",
                            text -> matching("GET|HEAD|POST|PUT|PATCH|DELETE|OPTIONS", text)));

    /** Prevents instances of this utility class. */
    private ValueTypes() {}

    /**
     * Creates the type of a name.
     *
     * @param conversion creates the identifier
     * @param <T> the type of the identifier
     * @return the type
     */
    public static <T> ValueType<T> name(Function<String, T> conversion) {
        return new TextType<>(
                "a name of letters, digits, dots, underscores and hyphens",
                text ->
                        Identifiers.isValid(text)
                                ? Optional.of(conversion.apply(text))
                                : Optional.empty());
    }

    /**
     * Creates the type of an optional name.
     *
     * @param conversion creates the identifier
     * @param <T> the type of the identifier
     * @return the type
     */
    public static <T> ValueType<Optional<T>> optionalName(Function<String, T> conversion) {
        return name(text -> Optional.of(conversion.apply(text)));
    }

    /**
     * Creates the type of a list of names.
     *
     * @param conversion creates the identifier
     * @param <T> the type of the identifiers
     * @return the type
     */
    public static <T> ValueType<List<T>> names(Function<String, T> conversion) {
        return new ListType<>(name(conversion));
    }

    /**
     * Creates the type of a value that is one of several enum constants.
     *
     * @param values the constants
     * @param textOf returns the text of a constant in the settings
     * @param <T> the type of the constants
     * @return the type
     */
    public static <T> ValueType<T> choice(T[] values, Function<T, String> textOf) {
        String all =
                Arrays.stream(values)
                        .map(value -> "\"" + textOf.apply(value) + "\"")
                        .collect(Collectors.joining(", "));
        return new TextType<>(
                "one of " + all,
                text ->
                        Arrays.stream(values)
                                .filter(value -> textOf.apply(value).equals(text))
                                .findFirst());
    }

    /**
     * Creates the type of a duration.
     *
     * @param min the smallest accepted value, in the form that settings files use
     * @param max the largest accepted value, in the form that settings files use
     * @return the type
     */
    public static ValueType<Duration> duration(String min, String max) {
        return new DurationType(
                DurationType.parse(min).orElseThrow(), DurationType.parse(max).orElseThrow());
    }

    /**
     * Returns a text if it matches a pattern.
     *
     * @param pattern the regular expression
     * @param text the text
     * @return the text, or empty if it does not match
     */
    private static Optional<String> matching(String pattern, String text) {
        return Pattern.matches(pattern, text) ? Optional.of(text) : Optional.empty();
    }

    /**
     * Returns a text if it can name a file.
     *
     * @param text the text
     * @return the text, or empty if it has control characters
     */
    private static Optional<String> fileName(String text) {
        boolean control = text.chars().anyMatch(Character::isISOControl);
        return control ? Optional.empty() : Optional.of(text);
    }
}
