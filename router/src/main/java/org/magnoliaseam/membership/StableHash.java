package org.magnoliaseam.membership;

import java.nio.charset.StandardCharsets;
import org.magnoliaseam.model.VmId;

/**
 * Computes FNV-1a hashes with a finalizer that are the same in every process and every version of
 * the software.
 */
public final class StableHash {

    /** The offset basis of the 64-bit FNV-1a hash. */
    private static final long FNV_OFFSET = 0xcbf29ce484222325L;

    /** The prime of the 64-bit FNV-1a hash. */
    private static final long FNV_PRIME = 0x100000001b3L;

    /** The first multiplier of the finalizer that spreads the bits of the hash. */
    private static final long MIX_FIRST = 0xff51afd7ed558ccdL;

    /** The second multiplier of the finalizer that spreads the bits of the hash. */
    private static final long MIX_SECOND = 0xc4ceb9fe1a85ec53L;

    /** The shift of the finalizer in bits. */
    private static final int MIX_SHIFT = 33;

    /** The bits of a hash beyond the 53 bits of a fraction. */
    private static final int UNUSED_BITS = 11;

    /** The distance of neighbouring fractions of 53 bits. */
    private static final double FRACTION_UNIT = 0x1p-53;

    /** Prevents instances of this utility class. */
    private StableHash() {}

    /**
     * Hashes a VM.
     *
     * @param vm the VM
     * @param seed selects one of many independent hashes
     * @return the hash
     */
    static long of(VmId vm, int seed) {
        return of(vm.value(), seed);
    }

    /**
     * Hashes a string.
     *
     * @param text the string, hashed as UTF-8
     * @param seed selects one of many independent hashes
     * @return the hash
     */
    public static long of(String text, int seed) {
        long hash = (FNV_OFFSET ^ seed) * FNV_PRIME;
        for (byte b : text.getBytes(StandardCharsets.UTF_8)) {
            hash = (hash ^ (b & 0xff)) * FNV_PRIME;
        }
        return mix(hash);
    }

    /**
     * Draws a number that depends on a string alone.
     *
     * @param text the string
     * @param seed selects one of many independent draws
     * @return a number from 0 to below 1, evenly distributed over different strings
     */
    public static double draw(String text, int seed) {
        return (of(text, seed) >>> UNUSED_BITS) * FRACTION_UNIT;
    }

    /**
     * Spreads the bits of a value over all bits of the result.
     *
     * @param value the value, such as the combination of two hashes
     * @return a hash that is the same in every process
     */
    public static long mix(long value) {
        long hash = (value ^ value >>> MIX_SHIFT) * MIX_FIRST;
        hash = (hash ^ hash >>> MIX_SHIFT) * MIX_SECOND;
        return hash ^ hash >>> MIX_SHIFT;
    }
}
