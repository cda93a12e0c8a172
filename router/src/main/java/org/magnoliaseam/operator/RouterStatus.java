package org.magnoliaseam.operator;

import java.util.List;
import java.util.Optional;
import org.magnoliaseam.fleet.FleetView;
import org.magnoliaseam.fleet.TierLoad;
import org.magnoliaseam.model.Incarnation;
import org.magnoliaseam.model.VmId;

/**
 * Holds the state of a router process for operators.
 *
 * @param vm the entry VM
 * @param incarnation the identifier of this run of the process
 * @param ready whether the process takes new work
 * @param leaving whether the process is shutting down or out of service
 * @param activeRequests the number of requests that are queued or running
 * @param pauses the number of detected pauses of the process since its start
 * @param configurationVersion the version in force; 0 if none
 * @param memberListVersion the version of the VM list in force; 0 if none
 * @param pressure the load of each tier
 * @param view the snapshot of the fleet; empty if there is none yet
 */
public record RouterStatus(
        VmId vm,
        Incarnation incarnation,
        boolean ready,
        boolean leaving,
        int activeRequests,
        long pauses,
        long configurationVersion,
        long memberListVersion,
        List<TierLoad> pressure,
        Optional<FleetView> view) {}
