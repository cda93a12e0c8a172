package org.magnoliaseam.settings.toml;

import java.util.List;
import java.util.Map;

/** Represents one node of a TOML document. */
public sealed interface TomlNode {

    /**
     * Returns the position of the node.
     *
     * @return the file and line
     */
    SourceLocation location();

    /**
     * Names the type of the node for messages.
     *
     * @return the type with its article
     */
    String typeName();

    /**
     * Holds a single value.
     *
     * @param value a string, long, double, boolean or time value
     * @param location the file and line
     */
    record Scalar(Object value, SourceLocation location) implements TomlNode {

        @Override
        public String typeName() {
            if (value instanceof String) {
                return "a string";
            }
            if (value instanceof Long) {
                return "an integer";
            }
            if (value instanceof Double) {
                return "a float";
            }
            return value instanceof Boolean ? "a boolean" : "a date or time";
        }
    }

    /**
     * Holds an array.
     *
     * @param items the items in order
     * @param location the file and line
     */
    record Sequence(List<TomlNode> items, SourceLocation location) implements TomlNode {

        @Override
        public String typeName() {
            return "an array";
        }
    }

    /**
     * Holds a table.
     *
     * @param entries the entries by key, in the order of the file
     * @param location the file and line
     */
    record Section(Map<String, TomlNode> entries, SourceLocation location) implements TomlNode {

        @Override
        public String typeName() {
            return "a table";
        }

        /**
         * Returns a nested table.
         *
         * @param key the key of the table
         * @return the table; an empty table if the key is absent or holds another type
         */
        public Section section(String key) {
            return entries.get(key) instanceof Section found
                    ? found
                    : new Section(Map.of(), location);
        }

        /**
         * Returns the file and line of an entry.
         *
         * @param key the key of the entry
         * @return the file and line of the entry, or those of this table if there is no such entry
         */
        public SourceLocation locationOf(String key) {
            TomlNode node = entries.get(key);
            return node == null ? location : node.location();
        }
    }
}
