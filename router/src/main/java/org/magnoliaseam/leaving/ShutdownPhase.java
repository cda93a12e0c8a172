package org.magnoliaseam.leaving;

/** The phases of a graceful shutdown, in order. */
public enum ShutdownPhase {
    /** The process serves normally. */
    SERVING(true, true, true),
    /** The process is not ready; the load balancer may still send new work, which is served. */
    BALANCER_GRACE(false, true, false),
    /**
     * New work is refused; requests with tickets of this process still run until the tickets
     * expire.
     */
    TICKETS_EXPIRE(false, false, false),
    /** The process waits for the requests in progress to end. */
    STREAMS_END(false, false, false),
    /** The process may exit. */
    EXIT(false, false, false);

    /** Whether the process is ready. */
    private final boolean mReady;

    /** Whether the process takes new work. */
    private final boolean mTakesNewWork;

    /** Whether the process issues tickets. */
    private final boolean mIssuesTickets;

    /**
     * Creates a phase.
     *
     * @param ready whether the process is ready
     * @param takesNewWork whether the process takes new work
     * @param issuesTickets whether the process issues tickets
     */
    ShutdownPhase(boolean ready, boolean takesNewWork, boolean issuesTickets) {
        mReady = ready;
        mTakesNewWork = takesNewWork;
        mIssuesTickets = issuesTickets;
    }

    /**
     * Returns whether the process is ready.
     *
     * @return true if the load balancer should send new work
     */
    public boolean ready() {
        return mReady;
    }

    /**
     * Returns whether the process takes new work that arrives, whether or not it is ready.
     *
     * @return true if it does
     */
    public boolean takesNewWork() {
        return mTakesNewWork;
    }

    /**
     * Returns whether the process issues tickets.
     *
     * @return true if it does
     */
    public boolean issuesTickets() {
        return mIssuesTickets;
    }
}
