package org.magnoliaseam.fleet;

import java.net.InetSocketAddress;
import org.magnoliaseam.model.FailureDomain;
import org.magnoliaseam.model.Region;
import org.magnoliaseam.model.VmId;

/**
 * Describes one entry VM in the platform's list.
 *
 * @param vm the entry VM
 * @param region its region
 * @param failureDomain its failure domain
 * @param peerAddress the address of its peer port
 * @param state whether it is in service or about to stop
 */
public record Member(
        VmId vm,
        Region region,
        FailureDomain failureDomain,
        InetSocketAddress peerAddress,
        MemberState state) {}
