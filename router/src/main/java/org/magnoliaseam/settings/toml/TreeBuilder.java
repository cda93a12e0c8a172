package org.magnoliaseam.settings.toml;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.tomlj.TomlArray;
import org.tomlj.TomlPosition;
import org.tomlj.TomlTable;

/** Converts a parsed document into a tree of nodes. */
final class TreeBuilder {

    /** The name of the file for faults. */
    private final String mFile;

    /** The lines of the text. */
    private final String[] mLines;

    /**
     * Creates a builder.
     *
     * @param file the name of the file for faults
     * @param text the text of the file
     */
    TreeBuilder(String file, String text) {
        mFile = file;
        mLines = text.split("\\n", -1);
    }

    /**
     * Converts the root table.
     *
     * @param root the root table
     * @return the node
     */
    TomlNode.Section section(TomlTable root) {
        return section(root, new SourceLocation(mFile, 1));
    }

    /**
     * Converts a table.
     *
     * @param table the table
     * @param location the location of the table
     * @return the node
     */
    private TomlNode.Section section(TomlTable table, SourceLocation location) {
        Map<String, TomlNode> entries = new LinkedHashMap<>();
        for (String key : table.keySet()) {
            List<String> path = List.of(key);
            SourceLocation entryLocation = location(table.inputPositionOf(path), location);
            entries.put(key, node(table.get(path), entryLocation));
        }
        return new TomlNode.Section(entries, location);
    }

    /**
     * Converts an array.
     *
     * @param array the array
     * @param location the location of the array
     * @return the node
     */
    private TomlNode.Sequence sequence(TomlArray array, SourceLocation location) {
        List<TomlNode> items = new ArrayList<>();
        for (int i = 0; i < array.size(); i++) {
            items.add(node(array.get(i), itemLocation(array.inputPositionOf(i), location)));
        }
        return new TomlNode.Sequence(items, location);
    }

    /**
     * Converts any value.
     *
     * @param value the value
     * @param location the location of the value
     * @return the node
     */
    private TomlNode node(Object value, SourceLocation location) {
        if (value instanceof TomlTable table) {
            return section(table, location);
        }
        if (value instanceof TomlArray array) {
            return sequence(array, location);
        }
        return new TomlNode.Scalar(value, location);
    }

    /**
     * Converts a position.
     *
     * @param position the position; null if the parser does not report one
     * @param outer the location of the enclosing node
     * @return the location
     */
    private SourceLocation location(TomlPosition position, SourceLocation outer) {
        return position == null ? outer : new SourceLocation(mFile, position.line());
    }

    /**
     * Converts the position of an array item. The parser reports the end of the preceding item, so
     * white space, line ends and comments after it are skipped.
     *
     * @param position the position; null if the parser does not report one
     * @param outer the location of the array
     * @return the location
     */
    private SourceLocation itemLocation(TomlPosition position, SourceLocation outer) {
        if (position == null) {
            return outer;
        }
        int line = position.line();
        int column = position.column() - 1;
        while (line < mLines.length && isBlank(mLines[line - 1], column)) {
            line++;
            column = 0;
        }
        return new SourceLocation(mFile, line);
    }

    /**
     * Tells whether the rest of a line is empty or a comment.
     *
     * @param line the line
     * @param column the column where the rest starts, counted from 0
     * @return true if the rest contains no value
     */
    private static boolean isBlank(String line, int column) {
        String rest = line.substring(Math.min(column, line.length())).strip();
        return rest.isEmpty() || rest.startsWith("#");
    }
}
