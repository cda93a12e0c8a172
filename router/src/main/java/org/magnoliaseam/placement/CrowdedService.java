package org.magnoliaseam.placement;

/**
 * Tells whether so many entry VMs share the slots of a plain service that the sums of their digests
 * say little about its servers: an entry VM then has few requests in progress, and most of what it
 * is told has ended before it arrives.
 */
public final class CrowdedService {

    /** The slots for each entry VM below which the service is crowded. */
    private static final int SLOTS_PER_VM = 3;

    /** Prevents instances of this utility class. */
    private CrowdedService() {}

    /**
     * Tells whether a service is crowded.
     *
     * @param vms the number of entry VMs
     * @param slots the slots of all servers of the service that are in service
     * @return true if the entry VMs outnumber a third of the slots
     */
    public static boolean isCrowded(int vms, int slots) {
        return vms * SLOTS_PER_VM > slots;
    }
}
