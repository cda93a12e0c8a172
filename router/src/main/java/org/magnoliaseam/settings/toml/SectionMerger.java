package org.magnoliaseam.settings.toml;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** Merges an overlay into a base document, key by key. */
public final class SectionMerger {

    /**
     * The top-level tables whose arrays are joined; in other tables the overlay's array replaces
     * the base array.
     */
    private final Set<String> mJoinedTables;

    /**
     * Creates a merger.
     *
     * @param joinedTables the top-level tables whose arrays are joined
     */
    public SectionMerger(Set<String> joinedTables) {
        mJoinedTables = Set.copyOf(joinedTables);
    }

    /**
     * Merges two documents.
     *
     * @param base the base document
     * @param overlay the document whose values take precedence
     * @return the merged document; every node keeps its original file and line
     */
    public TomlNode.Section merge(TomlNode.Section base, TomlNode.Section overlay) {
        Map<String, TomlNode> merged = new LinkedHashMap<>(base.entries());
        overlay.entries()
                .forEach(
                        (key, node) -> {
                            boolean joined = mJoinedTables.contains(key);
                            merged.merge(
                                    key, node, (old, changed) -> mergeNodes(old, changed, joined));
                        });
        return new TomlNode.Section(merged, base.location());
    }

    /**
     * Merges two nodes under the same key.
     *
     * @param base the base node
     * @param overlay the overlay node
     * @param joined whether arrays are joined
     * @return the merged node
     */
    private static TomlNode mergeNodes(TomlNode base, TomlNode overlay, boolean joined) {
        if (base instanceof TomlNode.Section old && overlay instanceof TomlNode.Section changed) {
            Map<String, TomlNode> merged = new LinkedHashMap<>(old.entries());
            changed.entries()
                    .forEach(
                            (key, node) ->
                                    merged.merge(key, node, (a, b) -> mergeNodes(a, b, joined)));
            return new TomlNode.Section(merged, old.location());
        }
        if (joined
                && base instanceof TomlNode.Sequence old
                && overlay instanceof TomlNode.Sequence changed) {
            return join(old, changed);
        }
        return overlay;
    }

    /**
     * Joins two arrays.
     *
     * @param base the base array
     * @param overlay the overlay array
     * @return the items of the base array and those that only the overlay lists
     */
    private static TomlNode.Sequence join(TomlNode.Sequence base, TomlNode.Sequence overlay) {
        List<TomlNode> items = new ArrayList<>(base.items());
        overlay.items().stream()
                .filter(item -> base.items().stream().noneMatch(old -> sameValue(old, item)))
                .forEach(items::add);
        return new TomlNode.Sequence(items, overlay.location());
    }

    /**
     * Tells whether two nodes hold equal single values.
     *
     * @param first the first node
     * @param second the second node
     * @return true if both are single values and equal
     */
    private static boolean sameValue(TomlNode first, TomlNode second) {
        return first instanceof TomlNode.Scalar a
                && second instanceof TomlNode.Scalar b
                && a.value().equals(b.value());
    }
}
