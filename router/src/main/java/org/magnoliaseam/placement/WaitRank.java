package org.magnoliaseam.placement;

/** Lists the ranks of the waiting requests of one priority, in the order of their starts. */
public enum WaitRank {
    /** The request can still meet its target. */
    TIMELY,
    /** The request can no longer meet its target, but be answered before its caller gives up. */
    LATE,
    /** The account of the request sends far more than it usually does. */
    EXCESSIVE;

    /**
     * Returns the place of this rank of a priority among those of all priorities.
     *
     * @param priority the priority
     * @return the place; a lower one starts earlier
     */
    public int place(int priority) {
        return priority * values().length + ordinal();
    }
}
