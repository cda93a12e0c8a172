package org.magnoliaseam.membership;

import java.util.ArrayList;
import java.util.List;
import org.magnoliaseam.model.VmId;

/**
 * Divides VMs into cells of bounded size by the leading bits of their hashes. A group that is too
 * large is split by the next bit, so that a VM that joins or leaves affects one cell only.
 */
final class Cells {

    /** The number of bits of a hash. */
    private static final int HASH_BITS = Long.SIZE;

    /** The seed of the hash. */
    private static final int SEED = 0;

    /** The largest number of VMs in a cell. */
    private final int mMaxSize;

    /**
     * Creates a division.
     *
     * @param maxSize the largest number of VMs in a cell
     */
    Cells(int maxSize) {
        mMaxSize = maxSize;
    }

    /**
     * Finds the cell of a VM.
     *
     * @param vm the VM
     * @param vms the VMs to divide, including the VM itself
     * @return the VMs of its cell, including the VM itself
     */
    List<VmId> cellOf(VmId vm, List<VmId> vms) {
        long hash = StableHash.of(vm, SEED);
        List<VmId> cell = vms;
        for (int bit = HASH_BITS - 1; bit >= 0 && cell.size() > mMaxSize; bit--) {
            cell = withBit(cell, bit, hash >>> bit & 1);
        }
        return cell;
    }

    /**
     * Selects the VMs whose hashes have a given value at a bit position.
     *
     * @param vms the VMs
     * @param bit the bit position, 0 for the lowest bit
     * @param value the value of the bit, 0 or 1
     * @return the selected VMs
     */
    private static List<VmId> withBit(List<VmId> vms, int bit, long value) {
        List<VmId> selected = new ArrayList<>();
        for (VmId vm : vms) {
            if ((StableHash.of(vm, SEED) >>> bit & 1) == value) {
                selected.add(vm);
            }
        }
        return selected;
    }
}
