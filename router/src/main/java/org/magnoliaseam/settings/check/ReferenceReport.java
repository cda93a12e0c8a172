package org.magnoliaseam.settings.check;

import java.util.Collection;
import java.util.Set;
import java.util.function.Consumer;
import org.magnoliaseam.settings.Fault;
import org.magnoliaseam.settings.schema.KeySpec;
import org.magnoliaseam.settings.schema.NearestName;

/** Reports references to names that are not defined. */
final class ReferenceReport {

    /**
     * The largest number of hints in one report. Each hint compares a name with all known names.
     */
    private static final int MAX_HINTS = 20;

    /** The table that uses the names. */
    private final Located<?> mLocated;

    /** Receives every fault found. */
    private final Consumer<Fault> mFaults;

    /** The number of hints that this report may still add. */
    private int mHintsLeft = MAX_HINTS;

    /**
     * Creates a report.
     *
     * @param located the table that uses the names
     * @param faults receives every fault found
     */
    ReferenceReport(Located<?> located, Consumer<Fault> faults) {
        mLocated = located;
        mFaults = faults;
    }

    /**
     * Reports the unknown names in the value of one key.
     *
     * @param key the key that lists the names
     * @param used the names that the key lists
     * @param known the known names
     * @param reason the reason to report, a format with one argument for the name and one for the
     *     hint
     */
    void report(KeySpec<?> key, Collection<?> used, Set<String> known, String reason) {
        for (Object id : used) {
            String name = id.toString();
            if (!known.contains(name)) {
                String text = reason.formatted(name, hint(name, known));
                mFaults.accept(mLocated.itemFault(key, name, text));
            }
        }
    }

    /**
     * Formats a hint for an unknown name unless the limit of hints is reached.
     *
     * @param name the unknown name
     * @param known the known names
     * @return the hint, or an empty text
     */
    private String hint(String name, Set<String> known) {
        if (mHintsLeft == 0) {
            return "";
        }
        mHintsLeft--;
        return NearestName.hint(name, known);
    }
}
