package org.magnoliaseam.share;

import java.util.List;
import org.magnoliaseam.fleet.MemberList;
import org.magnoliaseam.model.VmId;
import org.magnoliaseam.settings.BackendServer;

/** Divides the warm limit of a backend server among the entry VMs that use it. */
public final class ShareCalculator {

    /** Prevents instances of this utility class. */
    private ShareCalculator() {}

    /**
     * Computes the share of an entry VM. The shares under one list add up to the warm limit. The
     * remainder of the division goes to the first-ranked VMs, one request each; if the limit is
     * below the number of VMs, the others get no share.
     *
     * @param list the list of entry VMs
     * @param server the backend server
     * @param vm the entry VM
     * @return the requests that the VM may have running on the server
     */
    public static int share(MemberList list, BackendServer server, VmId vm) {
        return share(RendezvousRanking.subset(list, server), server, vm);
    }

    /**
     * Computes the share of an entry VM in a server whose subset is known.
     *
     * @param subset the entry VMs that use the server, first-ranked first
     * @param server the backend server
     * @param vm the entry VM
     * @return the requests that the VM may have running on the server
     */
    static int share(List<VmId> subset, BackendServer server, VmId vm) {
        int rank = subset.indexOf(vm);
        if (rank < 0) {
            return 0;
        }
        int even = server.warmLimit() / subset.size();
        return even + (rank < server.warmLimit() % subset.size() ? 1 : 0);
    }
}
