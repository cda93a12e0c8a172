package org.magnoliaseam.membership;

import java.util.Comparator;
import java.util.List;
import org.magnoliaseam.model.VmId;

/**
 * Orders VMs on a ring by one of many independent hashes. A VM that joins or leaves changes the
 * neighbours of two others.
 */
final class HashRing {

    /** The seed of the hash. */
    private final int mSeed;

    /**
     * Creates a ring.
     *
     * @param seed the seed of the hash; rings with different seeds are independent
     */
    HashRing(int seed) {
        mSeed = seed;
    }

    /**
     * Finds the neighbours of a VM.
     *
     * @param vm the VM
     * @param vms the VMs on the ring, including the VM itself
     * @return the previous and the next VM; the VM itself twice if it is alone
     */
    List<VmId> neighbours(VmId vm, List<VmId> vms) {
        List<Position> ring = vms.stream().map(this::positionOf).sorted(Position.ORDER).toList();
        int position = ring.indexOf(positionOf(vm));
        int previous = Math.floorMod(position - 1, ring.size());
        int next = (position + 1) % ring.size();
        return List.of(ring.get(previous).vm(), ring.get(next).vm());
    }

    /**
     * Computes the position of a VM.
     *
     * @param vm the VM
     * @return its position
     */
    private Position positionOf(VmId vm) {
        return new Position(StableHash.of(vm, mSeed), vm);
    }

    /**
     * Holds the position of a VM on the ring.
     *
     * @param hash the hash of the VM
     * @param vm the VM
     */
    private record Position(long hash, VmId vm) {

        /** The order on the ring. */
        static final Comparator<Position> ORDER =
                Comparator.comparingLong(Position::hash).thenComparing(Position::vm);
    }
}
