package org.magnoliaseam.share;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.magnoliaseam.fleet.MemberList;
import org.magnoliaseam.model.BackendServerId;
import org.magnoliaseam.model.Region;
import org.magnoliaseam.model.VmId;
import org.magnoliaseam.settings.BackendServer;

/**
 * Caches the subset of each backend server for one version of the list of entry VMs. Not
 * thread-safe.
 */
final class ListSubsets {

    /**
     * Holds what a subset depends on besides the list.
     *
     * @param server the backend server
     * @param region its region
     */
    private record Key(BackendServerId server, Region region) {}

    /** The list. */
    private final MemberList mList;

    /** The subsets computed so far. */
    private final Map<Key, List<VmId>> mSubsets = new HashMap<>();

    /**
     * Creates an empty cache for a list.
     *
     * @param list the list
     */
    ListSubsets(MemberList list) {
        mList = list;
    }

    /**
     * Returns the version of the list.
     *
     * @return the version
     */
    long version() {
        return mList.version();
    }

    /**
     * Returns the subset of a backend server.
     *
     * @param server the backend server
     * @return the entry VMs that use it, first-ranked first
     */
    List<VmId> of(BackendServer server) {
        return mSubsets.computeIfAbsent(
                new Key(server.id(), server.region()),
                key -> RendezvousRanking.subset(mList, server));
    }
}
