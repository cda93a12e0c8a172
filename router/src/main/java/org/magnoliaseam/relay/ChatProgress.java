package org.magnoliaseam.relay;

/** Counts the tokens that were relayed to the caller, across all attempts of a request. */
public final class ChatProgress {

    /** The number of tokens that the caller has. */
    private volatile int mTokens;

    /** Whether the last event was relayed. */
    private volatile boolean mFinished;

    /**
     * Creates a counter.
     *
     * @param tokens the number of tokens that the caller already has
     */
    public ChatProgress(int tokens) {
        mTokens = tokens;
    }

    /**
     * Returns the number of tokens that the caller has.
     *
     * @return the number of tokens, which is also the offset at which to resume
     */
    public int tokens() {
        return mTokens;
    }

    /**
     * Returns whether the last event was relayed.
     *
     * @return true if only the end marker is missing
     */
    boolean finished() {
        return mFinished;
    }

    /** Records that a token was relayed. */
    void advance() {
        mTokens = mTokens + 1;
    }

    /** Records that the last event was relayed. */
    void finish() {
        mFinished = true;
    }
}
