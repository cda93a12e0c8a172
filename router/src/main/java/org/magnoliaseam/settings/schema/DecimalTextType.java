package org.magnoliaseam.settings.schema;

import java.util.List;
import java.util.regex.Pattern;
import org.magnoliaseam.error.Result;
import org.magnoliaseam.settings.toml.TomlNode;

/**
 * Reads a number within a range, or a string that holds one. A template can fill in a string even
 * where the platform has no number, and the other keys of the file stay readable.
 */
public final class DecimalTextType implements ValueType<Double> {

    /** A decimal number; the bounded lengths limit the work of parsing. */
    private static final Pattern NUMBER =
            Pattern.compile("[+-]?\\d{1,20}(?:\\.\\d{1,20})?(?:[eE][+-]?\\d{1,3})?");

    /** Checks the range. */
    private final DecimalType mType;

    /**
     * Creates a type.
     *
     * @param min the smallest accepted value
     * @param max the largest accepted value
     */
    public DecimalTextType(double min, double max) {
        mType = new DecimalType(min, max);
    }

    @Override
    public Result<Double, List<ValueFault>> parse(TomlNode node) {
        boolean number =
                node instanceof TomlNode.Scalar scalar
                        && scalar.value() instanceof String text
                        && NUMBER.matcher(text).matches();
        if (!number) {
            return mType.parse(node);
        }
        String text = (String) ((TomlNode.Scalar) node).value();
        return mType.parse(new TomlNode.Scalar(Double.valueOf(text), node.location()));
    }
}
