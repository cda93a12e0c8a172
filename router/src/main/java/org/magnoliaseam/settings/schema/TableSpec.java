package org.magnoliaseam.settings.schema;

import java.util.List;
import java.util.Optional;

/**
 * Describes one top-level table.
 *
 * @param name the key of the table
 * @param shape whether the table holds keys or named entries
 * @param keys the keys of the table or of each entry
 */
public record TableSpec(String name, Shape shape, List<KeySpec<?>> keys) {

    /** Lists the kinds of content of a table. */
    public enum Shape {
        /** The table holds keys. */
        PLAIN(true),
        /** The table holds named entries, which only the base file may add. */
        NAMED_IN_BASE(false),
        /** The table holds named entries, which an overlay may add too. */
        NAMED_ANYWHERE(true);

        /** Whether an overlay may add an entry. */
        private final boolean mOverlayAdds;

        /**
         * Creates a shape.
         *
         * @param overlayAdds whether an overlay may add an entry
         */
        Shape(boolean overlayAdds) {
            mOverlayAdds = overlayAdds;
        }

        /**
         * Tells whether an overlay may add an entry.
         *
         * @return true if it may
         */
        public boolean overlayAdds() {
            return mOverlayAdds;
        }
    }

    /**
     * Finds a key.
     *
     * @param key the key within the table or entry
     * @return its description, or empty if the table does not define the key
     */
    public Optional<KeySpec<?>> find(String key) {
        return keys.stream().filter(spec -> spec.name().equals(key)).findFirst();
    }

    /**
     * Returns the names of all keys.
     *
     * @return the names in the order of the documentation
     */
    public List<String> keyNames() {
        return keys.stream().<String>map(KeySpec::name).toList();
    }

    /**
     * Tells whether the table holds named entries.
     *
     * @return true if it does
     */
    public boolean named() {
        return shape != Shape.PLAIN;
    }
}
