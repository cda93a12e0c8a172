package org.magnoliaseam.settings.schema;

import java.util.List;
import org.tomlj.Toml;

/** Builds dotted keys. */
public final class KeyPath {

    /** Prevents instances of this utility class. */
    private KeyPath() {}

    /**
     * Appends a key to the dotted key of its table.
     *
     * @param parent the dotted key of the table; empty for the root
     * @param key the key within the table, quoted in the result if TOML requires it
     * @return the dotted key
     */
    public static String of(String parent, String key) {
        String quoted = Toml.joinKeyPath(List.of(key));
        return parent.isEmpty() ? quoted : parent + "." + quoted;
    }
}
