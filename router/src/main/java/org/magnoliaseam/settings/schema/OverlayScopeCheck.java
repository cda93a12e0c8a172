package org.magnoliaseam.settings.schema;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.magnoliaseam.settings.Fault;
import org.magnoliaseam.settings.toml.TomlNode;

/** Checks that an overlay sets only keys that may differ between sites. */
public final class OverlayScopeCheck {

    /** The reason for a key that an overlay may not set. */
    public static final String BASE_ONLY = "may be set only in the base file";

    /** The reason for an entry that an overlay may not add. */
    public static final String BASE_ADDS = "may be added only in the base file";

    /** The base document. */
    private final TomlNode.Section mBase;

    /** The overlay. */
    private final TomlNode.Section mOverlay;

    /** The faults found so far. */
    private final List<Fault> mFaults = new ArrayList<>();

    /**
     * Creates a check.
     *
     * @param base the base document
     * @param overlay the overlay
     */
    public OverlayScopeCheck(TomlNode.Section base, TomlNode.Section overlay) {
        mBase = base;
        mOverlay = overlay;
    }

    /**
     * Checks all tables.
     *
     * @param tables the known tables
     * @return every fault
     */
    public List<Fault> check(List<TableSpec> tables) {
        for (TableSpec table : tables) {
            TomlNode.Section section = mOverlay.section(table.name());
            if (table.named()) {
                section.entries().forEach((name, node) -> checkNamed(table, name, node));
            } else {
                checkKeys(table, table.name(), section);
            }
        }
        return mFaults;
    }

    /**
     * Removes the entries that an overlay may not add, so that each of them causes only one fault.
     *
     * @param tables the known tables
     * @return the overlay without these entries
     */
    public TomlNode.Section permitted(List<TableSpec> tables) {
        Map<String, TomlNode> kept = new LinkedHashMap<>(mOverlay.entries());
        for (TableSpec table : tables) {
            if (kept.get(table.name()) instanceof TomlNode.Section section
                    && !table.shape().overlayAdds()) {
                Map<String, TomlNode> entries = new LinkedHashMap<>(section.entries());
                entries.keySet().retainAll(mBase.section(table.name()).entries().keySet());
                kept.put(table.name(), new TomlNode.Section(entries, section.location()));
            }
        }
        return new TomlNode.Section(kept, mOverlay.location());
    }

    /**
     * Checks one named entry.
     *
     * @param table the table
     * @param name the name of the entry
     * @param node the entry
     */
    private void checkNamed(TableSpec table, String name, TomlNode node) {
        TomlNode.Section inBase = mBase.section(table.name());
        String path = KeyPath.of(table.name(), name);
        if (inBase.entries().containsKey(name)) {
            if (node instanceof TomlNode.Section section) {
                checkKeys(table, path, section);
            }
        } else if (!table.shape().overlayAdds()) {
            String hint = NearestName.hint(name, inBase.entries().keySet());
            mFaults.add(node.location().fault(path, BASE_ADDS + hint));
        }
    }

    /**
     * Checks the keys of one table.
     *
     * @param table the known keys
     * @param path the dotted key of the table
     * @param section the table in the overlay
     */
    private void checkKeys(TableSpec table, String path, TomlNode.Section section) {
        for (KeySpec<?> key : table.keys()) {
            TomlNode node = section.entries().get(key.name());
            if (node != null && !key.scope().overlay()) {
                mFaults.add(node.location().fault(KeyPath.of(path, key.name()), BASE_ONLY));
            }
        }
    }
}
