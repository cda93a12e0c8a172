package org.magnoliaseam.settings.schema;

import java.util.List;
import java.util.function.Consumer;
import org.magnoliaseam.error.Result;
import org.magnoliaseam.settings.Fault;
import org.magnoliaseam.settings.toml.TomlNode;

/** Reads the typed values of one table and reports those that are missing or malformed. */
public final class SectionReader {

    /** The reason for a required key that is missing. */
    public static final String MISSING = "is required and missing";

    /** The table. */
    private final TomlNode.Section mSection;

    /** The dotted key of the table; empty for the root. */
    private final String mPath;

    /** Receives the faults. */
    private final Consumer<Fault> mFaults;

    /** Whether every value read so far was well formed and no required key was missing. */
    private boolean mComplete = true;

    /**
     * Creates a reader.
     *
     * @param section the table
     * @param path the dotted key of the table; empty for the root
     * @param faults receives the faults
     */
    public SectionReader(TomlNode.Section section, String path, Consumer<Fault> faults) {
        mSection = section;
        mPath = path;
        mFaults = faults;
    }

    /**
     * Reads a value.
     *
     * @param key the key to read
     * @param <T> the type of the value
     * @return the value, or the fallback of the key if it is absent or malformed
     */
    public <T> T read(KeySpec<T> key) {
        return read(key, key.fallback());
    }

    /**
     * Reads a value.
     *
     * @param key the key to read
     * @param substitute the result for a malformed value
     * @param <T> the type of the value
     * @return the value, the fallback of the key if it is absent, or the substitute
     */
    public <T> T read(KeySpec<T> key, T substitute) {
        TomlNode node = mSection.entries().get(key.name());
        if (node == null) {
            if (key.required()) {
                mComplete = false;
                mFaults.accept(mSection.location().fault(KeyPath.of(mPath, key.name()), MISSING));
            }
            return key.fallback();
        }
        Result<T, List<ValueFault>> result = key.type().parse(node);
        if (result instanceof Result.Ok<T, List<ValueFault>> ok) {
            return ok.value();
        }
        mComplete = false;
        String path = KeyPath.of(mPath, key.name());
        List<ValueFault> faults = ((Result.Err<T, List<ValueFault>>) result).error();
        faults.forEach(f -> mFaults.accept(f.location().fault(path, f.reason())));
        return substitute;
    }

    /**
     * Tells whether every value read so far was well formed and no required key was missing.
     *
     * @return true if so
     */
    public boolean complete() {
        return mComplete;
    }
}
