package org.magnoliaseam.fleet;

import java.util.List;
import org.magnoliaseam.model.Incarnation;
import org.magnoliaseam.model.RequestClassId;
import org.magnoliaseam.model.VmId;

/**
 * Holds the state that one entry VM sends to its peers in each heartbeat.
 *
 * @param vm the sender
 * @param incarnation the incarnation of the sender process
 * @param sequence the number of the heartbeat, increasing within an incarnation
 * @param configurationVersion the version in force at the sender; 0 if none
 * @param memberListVersion the version of the VM list in force at the sender; 0 if none
 * @param ready whether the sender takes new work
 * @param leaving whether the sender is shutting down
 * @param pressure the load of each tier
 * @param room the free slots for each class of which the sender could start requests now without
 *     queueing
 * @param warmServers the backend servers that the sender considers warm
 * @param suspects the notices of requests that were running when backend servers crashed
 * @param firstTries the number of first attempts since the start of the sender
 * @param retries the number of retries since the start of the sender
 */
public record PeerSummary(
        VmId vm,
        Incarnation incarnation,
        long sequence,
        long configurationVersion,
        long memberListVersion,
        boolean ready,
        boolean leaving,
        List<TierLoad> pressure,
        List<ClassFreeSlots> room,
        List<WarmServer> warmServers,
        List<SuspectNotice> suspects,
        long firstTries,
        long retries) {

    /**
     * Returns the number of requests of a class that the sender could start now.
     *
     * @param requestClass the request class
     * @return the number of free slots; 0 if the class is not listed
     */
    public int freeSlots(RequestClassId requestClass) {
        for (ClassFreeSlots entry : room) {
            if (entry.classKey() == requestClass.shortKey()) {
                return entry.freeSlots();
            }
        }
        return 0;
    }
}
