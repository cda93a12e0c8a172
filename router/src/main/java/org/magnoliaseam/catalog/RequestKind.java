package org.magnoliaseam.catalog;

/** Lists the kinds of request, which determine whether a request may be repeated. */
public enum RequestKind {
    /** The request is idempotent; its answer has one body. */
    REPEATABLE(true, false),
    /** The request may run at most once; its answer has one body. */
    ONCE(false, false),
    /**
     * The answer is a stream of events; the request may be repeated only if the route can resume
     * the stream.
     */
    STREAM(false, true);

    /** Whether every request of the kind is idempotent. */
    private final boolean mIdempotent;

    /** Whether the answer is a stream of events. */
    private final boolean mStreamed;

    /**
     * Creates a kind.
     *
     * @param idempotent whether every request of the kind is idempotent
     * @param streamed whether the answer is a stream of events
     */
    RequestKind(boolean idempotent, boolean streamed) {
        mIdempotent = idempotent;
        mStreamed = streamed;
    }

    /**
     * Tells whether a request may run more than once.
     *
     * @param resumable whether the route allows a stream to continue on another backend server
     * @return true if the request may run again
     */
    public boolean idempotent(boolean resumable) {
        return mIdempotent || mStreamed && resumable;
    }

    /**
     * Tells whether the answer is a stream of events.
     *
     * @return true for streams
     */
    public boolean streamed() {
        return mStreamed;
    }
}
