package org.magnoliaseam.settings.schema;

import java.util.List;
import org.magnoliaseam.error.Result;
import org.magnoliaseam.settings.toml.TomlNode;

/** Reads a whole number within a range. */
public final class IntegerType implements ValueType<Integer> {

    /** The reason for a value out of range. */
    public static final String OUT_OF_RANGE = "must be between %d and %d";

    /** The smallest accepted value. */
    private final int mMin;

    /** The largest accepted value. */
    private final int mMax;

    /**
     * Creates a type.
     *
     * @param min the smallest accepted value
     * @param max the largest accepted value
     */
    public IntegerType(int min, int max) {
        mMin = min;
        mMax = max;
    }

    @Override
    public Result<Integer, List<ValueFault>> parse(TomlNode node) {
        if (!(node instanceof TomlNode.Scalar scalar && scalar.value() instanceof Long value)) {
            return ValueType.mismatch(node, "an integer");
        }
        if (value < mMin || value > mMax) {
            return ValueType.fault(node, OUT_OF_RANGE.formatted(mMin, mMax));
        }
        return Result.ok(value.intValue());
    }
}
