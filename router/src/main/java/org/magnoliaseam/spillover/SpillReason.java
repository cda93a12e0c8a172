package org.magnoliaseam.spillover;

/** Lists why a request runs in its failure domain or in another one. */
public enum SpillReason {
    /** It runs in its failure domain. */
    HOME,
    /** It belongs to the share that leaves. */
    SHARE,
    /** No backend server of its failure domain had room. */
    NO_ROOM,
    /** Another failure domain caches parts of its prompt. */
    CACHED,
    /** Its failure domain has no backend server in service. */
    NO_HOME;

    /**
     * Returns the text for logs and metrics.
     *
     * @return the name in lower case
     */
    public String text() {
        return name().toLowerCase(java.util.Locale.ROOT);
    }
}
