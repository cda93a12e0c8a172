package org.magnoliaseam.settings.schema;

import java.util.Collection;
import java.util.Comparator;
import java.util.Optional;

/** Finds the known name that is most similar to a misspelled one. */
public final class NearestName {

    /** The largest edit distance between a misspelled name and a suggested one. */
    private static final int MAX_EDITS = 3;

    /** The longest name that is compared, in characters. */
    private static final int MAX_NAME_CHARS = 64;

    /** Prevents instances of this utility class. */
    private NearestName() {}

    /**
     * Formats a hint for a misspelled name.
     *
     * @param name the misspelled name
     * @param known the names to choose from
     * @return the hint with a leading semicolon, or an empty text if no name is similar enough
     */
    public static String hint(String name, Collection<String> known) {
        return find(name, known).map(found -> "; did you mean \"" + found + "\"?").orElse("");
    }

    /**
     * Finds the most similar name.
     *
     * @param name the misspelled name
     * @param known the names to choose from
     * @return the most similar name, or empty if none is similar enough
     */
    private static Optional<String> find(String name, Collection<String> known) {
        if (name.length() > MAX_NAME_CHARS) {
            return Optional.empty();
        }
        int limit = Math.min(MAX_EDITS, Math.max(1, name.length() / 2));
        return known.stream()
                .filter(other -> Math.abs(other.length() - name.length()) <= limit)
                .filter(other -> edits(name, other) <= limit)
                .min(
                        Comparator.comparingInt((String other) -> edits(name, other))
                                .thenComparing(Comparator.naturalOrder()));
    }

    /**
     * Counts the single-character edits between two names.
     *
     * @param from the first name
     * @param to the second name
     * @return the Levenshtein distance
     */
    private static int edits(String from, String to) {
        int[] previous = new int[to.length() + 1];
        for (int j = 0; j <= to.length(); j++) {
            previous[j] = j;
        }
        for (int i = 1; i <= from.length(); i++) {
            int[] current = new int[to.length() + 1];
            current[0] = i;
            for (int j = 1; j <= to.length(); j++) {
                int substitution = from.charAt(i - 1) == to.charAt(j - 1) ? 0 : 1;
                int replaced = previous[j - 1] + substitution;
                current[j] = Math.min(replaced, 1 + Math.min(previous[j], current[j - 1]));
            }
            previous = current;
        }
        return previous[to.length()];
    }
}
