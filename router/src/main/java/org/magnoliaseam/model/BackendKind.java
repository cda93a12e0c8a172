package org.magnoliaseam.model;

/** Lists the kinds of backend servers. */
public enum BackendKind {
    /** A model engine that speaks the chat-completions protocol and streams tokens. */
    MODEL_ENGINE("model-engine", true),
    /** A plain HTTP service, such as a ledger. */
    PLAIN_SERVICE("plain-service", false);

    /** The spelling in the settings. */
    private final String mText;

    /** Whether an interrupted stream can be resumed at an offset. */
    private final boolean mResumable;

    /**
     * Creates a kind.
     *
     * @param text the spelling in the settings
     * @param resumable whether an interrupted stream can be resumed at an offset
     */
    BackendKind(String text, boolean resumable) {
        mText = text;
        mResumable = resumable;
    }

    /**
     * Returns the spelling in the settings.
     *
     * @return the text
     */
    public String text() {
        return mText;
    }

    /**
     * Returns whether an interrupted stream can be resumed at an offset.
     *
     * @return true for model engines
     */
    public boolean resumable() {
        return mResumable;
    }
}
