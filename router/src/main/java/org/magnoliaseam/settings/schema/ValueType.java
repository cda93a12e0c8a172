package org.magnoliaseam.settings.schema;

import java.util.List;
import org.magnoliaseam.error.Result;
import org.magnoliaseam.settings.toml.TomlNode;

/**
 * Reads the value of a key.
 *
 * @param <T> the type of the value
 */
@FunctionalInterface
public interface ValueType<T> {

    /**
     * Reads a value.
     *
     * @param node the node that holds the value
     * @return the value, or every reason why it cannot be read
     */
    Result<T, List<ValueFault>> parse(TomlNode node);

    /**
     * Creates the result for a node that cannot be read.
     *
     * @param node the node
     * @param reason one sentence that states what is wrong
     * @param <T> the type of the value
     * @return the result
     */
    static <T> Result<T, List<ValueFault>> fault(TomlNode node, String reason) {
        return Result.err(List.of(new ValueFault(node.location(), reason)));
    }

    /**
     * Creates the result for a node of the wrong type.
     *
     * @param node the node
     * @param expected the expected value for messages, with its article
     * @param <T> the type of the value
     * @return the result
     */
    static <T> Result<T, List<ValueFault>> mismatch(TomlNode node, String expected) {
        return fault(node, "must be " + expected + ", not " + node.typeName());
    }
}
