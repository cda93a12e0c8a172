package org.magnoliaseam.settings.schema;

import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.magnoliaseam.error.Result;
import org.magnoliaseam.model.Identifiers;
import org.magnoliaseam.settings.Fault;
import org.magnoliaseam.settings.toml.TomlNode;

/** Checks one document for unknown keys, malformed names and malformed values. */
public final class SchemaCheck {

    /** The reason for a key that its table does not define. */
    public static final String UNKNOWN_KEY = "is not a known key";

    /** The reason for a name that is not a valid identifier. */
    public static final String MALFORMED_NAME =
            "must be a name of letters, digits, dots, underscores and hyphens";

    /** The faults found so far. */
    private final List<Fault> mFaults = new ArrayList<>();

    /**
     * Checks a document of top-level tables.
     *
     * @param root the document
     * @param tables the known tables
     * @return every fault
     */
    public static List<Fault> checkTables(TomlNode.Section root, List<TableSpec> tables) {
        SchemaCheck check = new SchemaCheck();
        Map<String, TableSpec> known = new LinkedHashMap<>();
        tables.forEach(table -> known.put(table.name(), table));
        root.entries()
                .forEach(
                        (key, node) -> {
                            if (known.containsKey(key)) {
                                check.checkTable(known.get(key), node);
                            } else {
                                check.reportUnknown("", key, node, known.keySet());
                            }
                        });
        return check.mFaults;
    }

    /**
     * Checks one table of keys.
     *
     * @param section the table
     * @param path the dotted key of the table; empty for the root
     * @param table the known keys
     * @return every fault
     */
    public static List<Fault> checkKeys(TomlNode.Section section, String path, TableSpec table) {
        SchemaCheck check = new SchemaCheck();
        check.checkEntries(section, path, table);
        return check.mFaults;
    }

    /**
     * Checks one top-level table.
     *
     * @param table the known keys
     * @param node the node under the key of the table
     */
    private void checkTable(TableSpec table, TomlNode node) {
        if (!(node instanceof TomlNode.Section section)) {
            mFaults.add(node.location().fault(table.name(), mismatch(node)));
            return;
        }
        if (!table.named()) {
            checkEntries(section, table.name(), table);
            return;
        }
        section.entries().forEach((name, entry) -> checkNamed(table, name, entry));
    }

    /**
     * Checks one named entry of a table.
     *
     * @param table the known keys
     * @param name the name of the entry
     * @param node the entry
     */
    private void checkNamed(TableSpec table, String name, TomlNode node) {
        String path = KeyPath.of(table.name(), name);
        if (!Identifiers.isValid(name)) {
            mFaults.add(node.location().fault(path, MALFORMED_NAME));
        }
        if (node instanceof TomlNode.Section section) {
            checkEntries(section, path, table);
        } else {
            mFaults.add(node.location().fault(path, mismatch(node)));
        }
    }

    /**
     * Checks the keys of a table.
     *
     * @param section the table
     * @param path the dotted key of the table
     * @param table the known keys
     */
    private void checkEntries(TomlNode.Section section, String path, TableSpec table) {
        section.entries()
                .forEach(
                        (key, node) -> {
                            Optional<KeySpec<?>> spec = table.find(key);
                            if (spec.isPresent()) {
                                checkValue(path, spec.get(), node);
                            } else {
                                reportUnknown(path, key, node, table.keyNames());
                            }
                        });
    }

    /**
     * Checks one value.
     *
     * @param path the dotted key of the table
     * @param spec the key
     * @param node the value
     * @param <T> the type of the value
     */
    private <T> void checkValue(String path, KeySpec<T> spec, TomlNode node) {
        Result<T, List<ValueFault>> result = spec.type().parse(node);
        if (result instanceof Result.Err<T, List<ValueFault>> err) {
            String key = KeyPath.of(path, spec.name());
            err.error().forEach(f -> mFaults.add(f.location().fault(key, f.reason())));
        }
    }

    /**
     * Reports an unknown key.
     *
     * @param path the dotted key of the table
     * @param key the unknown key
     * @param node the node under the key
     * @param known the known keys
     */
    private void reportUnknown(String path, String key, TomlNode node, Collection<String> known) {
        String reason = UNKNOWN_KEY + NearestName.hint(key, known);
        mFaults.add(node.location().fault(KeyPath.of(path, key), reason));
    }

    /**
     * Formats the reason for a node that is not a table.
     *
     * @param node the node
     * @return the reason
     */
    private static String mismatch(TomlNode node) {
        return "must be a table, not " + node.typeName();
    }
}
