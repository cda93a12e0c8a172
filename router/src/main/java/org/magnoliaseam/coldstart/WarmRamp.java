package org.magnoliaseam.coldstart;

/**
 * Limits the slots on a server that has just proved warm. The limit doubles step by step, so that
 * the load does not jump to the full share at once. Not thread-safe.
 */
final class WarmRamp {

    /** The number of slots from which the ramp no longer grows. */
    private static final int MAX_SLOTS = 1 << 20;

    /** The current number of slots. */
    private int mSlots = 1;

    /** The number of completions since the number of slots last changed. */
    private int mCompletions;

    /**
     * Starts the ramp.
     *
     * @param slots the number of slots to start with
     */
    void start(int slots) {
        mSlots = Math.max(1, slots);
        mCompletions = 0;
    }

    /** Records a completion; doubles the slots after as many completions as there are slots. */
    void completed() {
        mCompletions++;
        if (mCompletions >= mSlots && mSlots < MAX_SLOTS) {
            mSlots *= 2;
            mCompletions = 0;
        }
    }

    /**
     * Records a failure; halves the slots.
     *
     * @param share the share of this entry VM in the warm limit
     */
    void failed(int share) {
        start(Math.min(mSlots, share) / 2);
    }

    /**
     * Returns the current number of slots.
     *
     * @param share the share of this entry VM in the warm limit
     * @return the number of slots, at most the share
     */
    int slots(int share) {
        return Math.min(mSlots, share);
    }
}
