package org.magnoliaseam.membership;

import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import org.magnoliaseam.fleet.Member;
import org.magnoliaseam.fleet.MemberList;
import org.magnoliaseam.model.Region;
import org.magnoliaseam.model.VmId;

/**
 * Selects the peers with which an entry VM holds connections. A small fleet is a full mesh. In a
 * large fleet an entry VM is connected to its cell, which is a bounded group of its region, and to
 * its neighbours on hash rings, which alternate between the whole fleet and its region. The
 * relation is symmetric. The rings of a region keep it connected without the other regions, and the
 * rings of the fleet connect all regions.
 */
public final class FanOut {

    /** The largest fleet that forms a full mesh. */
    public static final int FULL_MESH_MEMBERS = 12;

    /** The smallest accepted limit of peers; it leaves room for two rings. */
    public static final int LEAST_MAX_PEERS = 8;

    /** The number of neighbours on one ring. */
    private static final int NEIGHBOURS = 2;

    /** The largest number of peers of one entry VM in a large fleet. */
    private final int mMaxPeers;

    /** The division of a region into cells. */
    private final Cells mCells;

    /** The number of rings. */
    private final int mRings;

    /**
     * Creates a selection with a limit of peers.
     *
     * @param maxPeers the largest number of peers of one entry VM in a large fleet
     * @throws IllegalArgumentException if the limit is below {@link #LEAST_MAX_PEERS}, the smallest
     *     that keeps a fleet connected
     */
    public FanOut(int maxPeers) {
        if (maxPeers < LEAST_MAX_PEERS) {
            throw new IllegalArgumentException("at least " + LEAST_MAX_PEERS + " peers are needed");
        }
        int cellSize = maxPeers / 2;
        mMaxPeers = maxPeers;
        mCells = new Cells(cellSize);
        mRings = (mMaxPeers - (cellSize - 1)) / NEIGHBOURS;
    }

    /**
     * Selects the peers of an entry VM.
     *
     * @param list the members of the fleet
     * @param self the entry VM
     * @return the members to hold connections with, ordered by name; empty if the entry VM is not
     *     in the list
     */
    public List<Member> peers(MemberList list, VmId self) {
        Region region = null;
        for (Member member : list.members()) {
            if (member.vm().equals(self)) {
                region = member.region();
            }
        }
        if (region == null) {
            return List.of();
        }
        Set<VmId> selected = selected(list, self, region);
        return list.members().stream().filter(member -> selected.contains(member.vm())).toList();
    }

    /**
     * Selects the ids of the peers.
     *
     * @param list the members of the fleet
     * @param self the entry VM
     * @param region the region of the entry VM
     * @return the ids
     */
    private Set<VmId> selected(MemberList list, VmId self, Region region) {
        List<VmId> fleet = list.members().stream().map(Member::vm).toList();
        Set<VmId> selected = new TreeSet<>(fleet);
        if (fleet.size() > FULL_MESH_MEMBERS) {
            List<VmId> sameRegion =
                    list.members().stream()
                            .filter(member -> member.region().equals(region))
                            .map(Member::vm)
                            .toList();
            selected = new TreeSet<>(mCells.cellOf(self, sameRegion));
            for (int ring = 1; ring <= mRings; ring++) {
                boolean withinRegion = ring % 2 == 0;
                List<VmId> ringMembers = withinRegion ? sameRegion : fleet;
                selected.addAll(new HashRing(ring).neighbours(self, ringMembers));
            }
        }
        selected.remove(self);
        return selected;
    }
}
