package org.magnoliaseam.settings.schema;

import java.util.List;
import java.util.Optional;
import java.util.function.Function;
import org.magnoliaseam.error.Result;
import org.magnoliaseam.settings.toml.TomlNode;

/**
 * Reads a string and converts it.
 *
 * @param <T> the type of the value
 */
public final class TextType<T> implements ValueType<T> {

    /** The expected value for messages, with its article. */
    private final String mExpected;

    /** Converts the string; empty if it is malformed. */
    private final Function<String, Optional<T>> mConversion;

    /**
     * Creates a type.
     *
     * @param expected the expected value for messages, with its article
     * @param conversion converts the string; empty if it is malformed
     */
    public TextType(String expected, Function<String, Optional<T>> conversion) {
        mExpected = expected;
        mConversion = conversion;
    }

    @Override
    public Result<T, List<ValueFault>> parse(TomlNode node) {
        if (!(node instanceof TomlNode.Scalar scalar && scalar.value() instanceof String text)) {
            return ValueType.mismatch(node, mExpected);
        }
        Optional<T> value = mConversion.apply(text);
        if (value.isEmpty()) {
            return ValueType.fault(node, "must be " + mExpected);
        }
        return Result.ok(value.get());
    }
}
