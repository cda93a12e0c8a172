package org.magnoliaseam.leaving;

import org.magnoliaseam.fleet.Member;
import org.magnoliaseam.fleet.MemberState;
import org.magnoliaseam.fleet.PeerSummary;
import org.magnoliaseam.settings.OutOfService;

/** Decides whether an entry VM takes new work, from its own callers or forwarded by a peer. */
public final class EntryVmService {

    /** Prevents instances of this utility class. */
    private EntryVmService() {}

    /**
     * Decides from the settings of operators and the VM list.
     *
     * @param member the entry VM as described in the VM list
     * @param outOfService what operators took out of service
     * @return the decision
     */
    public static ServiceState decide(Member member, OutOfService outOfService) {
        if (outOfService.vms().contains(member.vm())) {
            return ServiceState.stopped("operators took the entry VM out of service");
        }
        if (outOfService.failureDomains().contains(member.failureDomain())) {
            return ServiceState.stopped("operators took its failure domain out of service");
        }
        if (member.state() == MemberState.LEAVING) {
            return ServiceState.stopped("the VM list says that the entry VM leaves");
        }
        return ServiceState.IN_SERVICE;
    }

    /**
     * Decides about a peer, also from its last heartbeat.
     *
     * @param member the peer as described in the VM list
     * @param outOfService what operators took out of service
     * @param summary the last heartbeat of the peer
     * @return the decision
     */
    public static ServiceState decide(
            Member member, OutOfService outOfService, PeerSummary summary) {
        if (summary.leaving()) {
            return ServiceState.stopped("the entry VM is shutting down");
        }
        if (!summary.ready()) {
            return ServiceState.stopped("the entry VM is not ready");
        }
        return decide(member, outOfService);
    }
}
