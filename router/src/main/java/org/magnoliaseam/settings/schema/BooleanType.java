package org.magnoliaseam.settings.schema;

import java.util.List;
import org.magnoliaseam.error.Result;
import org.magnoliaseam.settings.toml.TomlNode;

/** Reads true or false. */
public final class BooleanType implements ValueType<Boolean> {

    @Override
    public Result<Boolean, List<ValueFault>> parse(TomlNode node) {
        if (node instanceof TomlNode.Scalar scalar && scalar.value() instanceof Boolean value) {
            return Result.ok(value);
        }
        return ValueType.mismatch(node, "true or false");
    }
}
