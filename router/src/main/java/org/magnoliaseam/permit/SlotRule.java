package org.magnoliaseam.permit;

/** Decides whether the home of an engine counts the slots of the engine as well as its prompts. */
public final class SlotRule {

    /** Prevents instances of this utility class. */
    private SlotRule() {}

    /**
     * Tells whether slots are scarce: with more entry VMs than slots, an entry VM has on average
     * less than one slot of each engine, and what it runs there itself tells it nothing.
     *
     * @param vms the number of entry VMs
     * @param slots the published slots of the engine; 0 if they are not limited
     * @return true if the home counts them
     */
    public static boolean isScarce(int vms, int slots) {
        return slots > 0 && vms > slots;
    }
}
