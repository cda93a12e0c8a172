package org.magnoliaseam.settings;

import java.util.Set;
import org.magnoliaseam.model.BackendServerId;
import org.magnoliaseam.model.FailureDomain;
import org.magnoliaseam.model.VmId;

/**
 * Lists the parts of a site that operators have taken out of service.
 *
 * @param failureDomains the failure domains that get no new work
 * @param vms the entry VMs that take no new work
 * @param backendServers the backend servers that get no new work
 */
public record OutOfService(
        Set<FailureDomain> failureDomains, Set<VmId> vms, Set<BackendServerId> backendServers) {}
