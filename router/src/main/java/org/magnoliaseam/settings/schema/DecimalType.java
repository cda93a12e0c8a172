package org.magnoliaseam.settings.schema;

import java.util.List;
import org.magnoliaseam.error.Result;
import org.magnoliaseam.settings.toml.TomlNode;

/** Reads a number within a range. */
public final class DecimalType implements ValueType<Double> {

    /** The reason for a value out of range. */
    public static final String OUT_OF_RANGE = "must be between %s and %s";

    /** The smallest accepted value. */
    private final double mMin;

    /** The largest accepted value. */
    private final double mMax;

    /**
     * Creates a type.
     *
     * @param min the smallest accepted value
     * @param max the largest accepted value
     */
    public DecimalType(double min, double max) {
        mMin = min;
        mMax = max;
    }

    @Override
    public Result<Double, List<ValueFault>> parse(TomlNode node) {
        if (!(node instanceof TomlNode.Scalar scalar && scalar.value() instanceof Number number)) {
            return ValueType.mismatch(node, "a number");
        }
        double value = number.doubleValue();
        boolean inRange = value >= mMin && value <= mMax;
        if (!inRange) {
            return ValueType.fault(node, OUT_OF_RANGE.formatted(mMin, mMax));
        }
        return Result.ok(value);
    }
}
