package org.magnoliaseam.settings.schema;

/** Defines which settings files may set a key. */
public enum Scope {
    /** Only the base file sets the key. */
    BASE(false),
    /** The base file and an overlay may set the key. */
    BASE_OR_OVERLAY(true),
    /** Only the local settings of a process set the key. */
    LOCAL(false);

    /** Whether an overlay may set the key. */
    private final boolean mOverlay;

    /**
     * Creates a scope.
     *
     * @param overlay whether an overlay may set the key
     */
    Scope(boolean overlay) {
        mOverlay = overlay;
    }

    /**
     * Tells whether an overlay may set the key.
     *
     * @return true if it may
     */
    public boolean overlay() {
        return mOverlay;
    }
}
