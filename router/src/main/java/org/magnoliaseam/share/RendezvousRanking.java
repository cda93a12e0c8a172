package org.magnoliaseam.share;

import java.nio.charset.StandardCharsets;
import java.util.Comparator;
import java.util.List;
import org.magnoliaseam.fleet.Member;
import org.magnoliaseam.fleet.MemberList;
import org.magnoliaseam.fleet.MemberState;
import org.magnoliaseam.model.VmId;
import org.magnoliaseam.settings.BackendServer;

/** Ranks the entry VMs for a backend server by rendezvous hashing. */
public final class RendezvousRanking {

    /** The largest number of entry VMs that use one backend server. */
    public static final int MAX_SUBSET_SIZE = 12;

    /** The offset basis of the 64-bit FNV-1a hash. */
    private static final long FNV_OFFSET_BASIS = 0xcbf29ce484222325L;

    /** The prime of the 64-bit FNV-1a hash. */
    private static final long FNV_PRIME = 0x100000001b3L;

    /** The first multiplier of the finalizer that spreads the bits of the hash. */
    private static final long MIX_FIRST = 0xff51afd7ed558ccdL;

    /** The second multiplier of the finalizer that spreads the bits of the hash. */
    private static final long MIX_SECOND = 0xc4ceb9fe1a85ec53L;

    /** The shift of the finalizer that spreads the bits of the hash. */
    private static final int MIX_SHIFT = 33;

    /** Prevents instances of this utility class. */
    private RendezvousRanking() {}

    /**
     * Selects the entry VMs that use a server: the first-ranked of the live ones in its region. If
     * the region has none, those of all regions are ranked.
     *
     * @param list the list of entry VMs
     * @param server the backend server
     * @return the subset that uses the server, first-ranked first; at most {@link #MAX_SUBSET_SIZE}
     */
    public static List<VmId> subset(MemberList list, BackendServer server) {
        List<Member> live =
                list.members().stream().filter(m -> m.state() == MemberState.LIVE).toList();
        List<Member> sameRegion =
                live.stream().filter(m -> m.region().equals(server.region())).toList();
        List<VmId> vms =
                (sameRegion.isEmpty() ? live : sameRegion).stream().map(Member::vm).toList();
        return rank(vms, server.id().value()).stream().limit(MAX_SUBSET_SIZE).toList();
    }

    /**
     * Ranks entry VMs for a key.
     *
     * @param vms the entry VMs in any order
     * @param key the key
     * @return the same VMs, first-ranked first
     */
    public static List<VmId> rank(List<VmId> vms, String key) {
        return vms.stream()
                .sorted(
                        Comparator.comparingLong((VmId vm) -> score(vm, key))
                                .reversed()
                                .thenComparing(VmId::value))
                .toList();
    }

    /**
     * Computes the score of an entry VM for a key.
     *
     * @param vm the entry VM
     * @param key the key
     * @return the score; the highest is ranked first
     */
    private static long score(VmId vm, String key) {
        long hash = FNV_OFFSET_BASIS;
        for (byte b : (vm.value() + "\n" + key).getBytes(StandardCharsets.US_ASCII)) {
            hash = (hash ^ (b & 0xff)) * FNV_PRIME;
        }
        hash = (hash ^ (hash >>> MIX_SHIFT)) * MIX_FIRST;
        hash = (hash ^ (hash >>> MIX_SHIFT)) * MIX_SECOND;
        return hash ^ (hash >>> MIX_SHIFT);
    }
}
