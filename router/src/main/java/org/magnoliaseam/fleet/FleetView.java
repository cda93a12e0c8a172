package org.magnoliaseam.fleet;

import java.util.List;
import java.util.Map;
import org.magnoliaseam.model.BackendServerId;
import org.magnoliaseam.model.VmId;
import org.magnoliaseam.settings.VersionedConfiguration;

/**
 * Holds the immutable snapshot of the fleet that one decision is based on.
 *
 * @param configuration the configuration in force
 * @param servers the backend servers whose subset of entry VMs includes this one
 * @param peers the peers with a recent heartbeat
 * @param self this entry VM
 * @param leaving whether this process takes no new work
 */
public record FleetView(
        VersionedConfiguration configuration,
        Map<BackendServerId, ServerView> servers,
        List<PeerView> peers,
        VmId self,
        boolean leaving) {}
