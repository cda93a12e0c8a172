package org.magnoliaseam.gateway;

import java.util.Set;
import org.magnoliaseam.catalog.Service;
import org.magnoliaseam.gossip.Membership;
import org.magnoliaseam.gossip.PeerEndpoint;
import org.magnoliaseam.membership.StableHash;
import org.magnoliaseam.model.BackendServerId;

/**
 * Divides limits that hold over all entry VMs. What one VM may send to a backend server in cold
 * start cannot be cut below one request at a time, so only a few entry VMs send there, on which all
 * agree without messages (rendezvous hashing). Not thread-safe.
 */
final class VmShares {

    /** The entry VMs that may exist before the first look at the peers. */
    private static final int ASSUMED_VMS = 8;

    /** The requests a second that make it worth to be one of the senders to a cold server. */
    private static final double COLD_SENDER_PER_SECOND = 2;

    /** The entry VMs that may live. */
    private Membership mMembers =
            new Membership(new PeerEndpoint("", 0), Set.of(), ASSUMED_VMS, false);

    /**
     * Takes which entry VMs may live.
     *
     * @param members the entry VMs that share common limits
     */
    void members(Membership members) {
        mMembers = members;
    }

    /**
     * Returns the entry VMs that share each limit.
     *
     * @return the number with this one
     */
    int vms() {
        return mMembers.vms();
    }

    /**
     * Returns what this entry VM may send to a backend server in cold start.
     *
     * @param service the service
     * @param server the backend server
     * @return the rate in requests a second; 0 if others are to send there
     */
    double coldPerSecond(Service service, BackendServerId server) {
        double limit = service.coldPerSecond();
        int senders = Math.max(1, (int) (limit / COLD_SENDER_PER_SECOND));
        if (!mMembers.settled() || rank(server) >= senders) {
            return 0;
        }
        return limit / Math.min(senders, mMembers.vms());
    }

    /**
     * Returns the place of this entry VM among the senders to a backend server.
     *
     * @param server the backend server
     * @return the number of entry VMs that come first
     */
    private int rank(BackendServerId server) {
        long own = weight(server, mMembers.own());
        int before = 0;
        for (PeerEndpoint other : mMembers.others()) {
            before += Long.compareUnsigned(weight(server, other), own) > 0 ? 1 : 0;
        }
        return before;
    }

    /**
     * Returns the rendezvous weight of an entry VM for a backend server.
     *
     * @param server the backend server
     * @param vm the entry VM
     * @return the weight; unsigned
     */
    private static long weight(BackendServerId server, PeerEndpoint vm) {
        return StableHash.of(server.value() + '/' + vm.host() + ':' + vm.port(), 0);
    }
}
