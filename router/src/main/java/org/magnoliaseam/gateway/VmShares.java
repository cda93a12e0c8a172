package org.magnoliaseam.gateway;

import java.util.Set;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.magnoliaseam.catalog.Service;
import org.magnoliaseam.gossip.Membership;
import org.magnoliaseam.gossip.PeerEndpoint;
import org.magnoliaseam.membership.StableHash;
import org.magnoliaseam.model.BackendServerId;

/**
 * Divides limits that apply to all entry VMs together. An entry VM cannot send less than one
 * request at a time, so the rate limit of a backend server in cold start cannot be divided among
 * all VMs of a large fleet. Therefore only a few entry VMs send to such a server. Rendezvous
 * hashing selects them, so that all entry VMs agree without exchanging messages. Not thread-safe.
 */
final class VmShares {

    /** Logs changes of the other entry VMs. */
    private static final Logger LOG = LogManager.getLogger("board");

    /** The assumed number of entry VMs before gossip has reported the peers. */
    private static final int ASSUMED_VMS = 8;

    /**
     * The requests per second that one sender to a backend server in cold start should get at
     * least.
     */
    private static final double COLD_SENDER_PER_SECOND = 2;

    /** The entry VMs that may be alive. */
    private Membership mMembers =
            new Membership(new PeerEndpoint("", 0), Set.of(), ASSUMED_VMS, false);

    /**
     * Sets the entry VMs that may be alive.
     *
     * @param members the entry VMs that share the limits
     */
    void members(Membership members) {
        if (members.vms() != mMembers.vms()) {
            LOG.info(
                    "board: entry VMs that share the limits, before={} now={}",
                    mMembers.vms(),
                    members.vms());
        }
        mMembers = members;
    }

    /**
     * Returns the entry VMs that may be alive.
     *
     * @return the membership
     */
    Membership members() {
        return mMembers;
    }

    /**
     * Returns the number of entry VMs that share each limit.
     *
     * @return the number, including this one
     */
    int vms() {
        return mMembers.vms();
    }

    /**
     * Tells whether the entry VMs contend for a backend server: they outnumber its slots, or it
     * shares its machine with others, which shows in the factor that it reports.
     *
     * @param state the backend server
     * @return true if placement has to balance its service more closely
     */
    boolean contended(BackendServerState state) {
        boolean outnumbered = mMembers.settled() && vms() > state.entry().slots();
        return outnumbered || state.reportsFactor();
    }

    /**
     * Returns the rate at which this entry VM may send to a backend server in cold start.
     *
     * @param service the service
     * @param server the backend server
     * @return the rate in requests per second; 0 if this entry VM is not one of its senders
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
     * Returns the rank of this entry VM for a backend server by rendezvous weight.
     *
     * @param server the backend server
     * @return the number of entry VMs with a higher weight
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
