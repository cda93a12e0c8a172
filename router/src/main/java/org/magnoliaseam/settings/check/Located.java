package org.magnoliaseam.settings.check;

import org.magnoliaseam.settings.Fault;
import org.magnoliaseam.settings.schema.KeyPath;
import org.magnoliaseam.settings.schema.KeySpec;
import org.magnoliaseam.settings.toml.SourceLocation;
import org.magnoliaseam.settings.toml.TomlNode;

/**
 * Holds a value with the table that it was read from.
 *
 * @param value the value; placeholders replace malformed parts
 * @param path the dotted key of the table
 * @param section the table
 * @param complete whether no part of the value is a placeholder
 * @param <T> the type of the value
 */
public record Located<T>(T value, String path, TomlNode.Section section, boolean complete) {

    /**
     * Creates a fault that concerns the whole table.
     *
     * @param reason one sentence that states what is wrong
     * @return the fault
     */
    public Fault fault(String reason) {
        return section.location().fault(path, reason);
    }

    /**
     * Creates a fault that concerns a key.
     *
     * @param key the key
     * @param reason one sentence that states what is wrong
     * @return the fault, at the line of the table if the key is absent
     */
    public Fault fault(KeySpec<?> key, String reason) {
        return section.locationOf(key.name()).fault(KeyPath.of(path, key.name()), reason);
    }

    /**
     * Creates a fault that concerns an item in an array of names.
     *
     * @param key the key of the array
     * @param item the item
     * @param reason one sentence that states what is wrong
     * @return the fault, at the line of the item
     */
    public Fault itemFault(KeySpec<?> key, String item, String reason) {
        return locationOf(key, item).fault(KeyPath.of(path, key.name()), reason);
    }

    /**
     * Tells whether the table sets a key.
     *
     * @param key the key
     * @return true if the key is present
     */
    public boolean sets(KeySpec<?> key) {
        return section.entries().containsKey(key.name());
    }

    /**
     * Finds the file and line of an item.
     *
     * @param key the key of the array
     * @param item the item
     * @return the file and line of the item, or of the key if the item is not found
     */
    private SourceLocation locationOf(KeySpec<?> key, String item) {
        if (section.entries().get(key.name()) instanceof TomlNode.Sequence sequence) {
            for (TomlNode node : sequence.items()) {
                if (node instanceof TomlNode.Scalar scalar && scalar.value().equals(item)) {
                    return scalar.location();
                }
            }
        }
        return section.locationOf(key.name());
    }
}
