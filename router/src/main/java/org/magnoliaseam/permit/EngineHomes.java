package org.magnoliaseam.permit;

import java.util.HashMap;
import java.util.Map;
import org.magnoliaseam.gossip.Membership;
import org.magnoliaseam.gossip.PeerEndpoint;
import org.magnoliaseam.membership.StableHash;
import org.magnoliaseam.model.BackendServerId;

/**
 * Selects the home of each engine among the entry VMs by rendezvous hashing, so that all entry VMs
 * agree without exchanging messages. An entry VM that does not answer is passed over for some time.
 * Not thread-safe.
 */
final class EngineHomes {

    /** The time for which an entry VM that did not answer is passed over, in nanoseconds. */
    private static final long SILENT_NANOS = 1_000_000_000L;

    /** The entry VMs for which the hashes hold. */
    private Membership mMembers;

    /** The hash of each entry VM. */
    private final Map<PeerEndpoint, Long> mHashes = new HashMap<>();

    /** The local monotonic time up to which an entry VM is passed over. */
    private final Map<PeerEndpoint, Long> mSilentUntil = new HashMap<>();

    /**
     * Returns the home of an engine.
     *
     * @param server the engine
     * @param members the entry VMs that may be alive
     * @param nowNanos the local monotonic time
     * @return the entry VM with the highest rendezvous weight; this one if there is no other
     */
    PeerEndpoint home(BackendServerId server, Membership members, long nowNanos) {
        update(members);
        long serverHash = StableHash.of(server.value(), 0);
        PeerEndpoint best = members.own();
        long bestWeight = StableHash.mix(serverHash ^ mHashes.get(best));
        for (Map.Entry<PeerEndpoint, Long> vm : mHashes.entrySet()) {
            long weight = StableHash.mix(serverHash ^ vm.getValue());
            if (Long.compareUnsigned(weight, bestWeight) > 0 && !isSilent(vm.getKey(), nowNanos)) {
                best = vm.getKey();
                bestWeight = weight;
            }
        }
        return best;
    }

    /**
     * Records that an entry VM did not answer.
     *
     * @param vm the entry VM
     * @param nowNanos the local monotonic time
     */
    void silent(PeerEndpoint vm, long nowNanos) {
        mSilentUntil.put(vm, nowNanos + SILENT_NANOS);
    }

    /**
     * Records that an entry VM answered.
     *
     * @param vm the entry VM
     */
    void answered(PeerEndpoint vm) {
        mSilentUntil.remove(vm);
    }

    /**
     * Tells whether an entry VM is passed over.
     *
     * @param vm the entry VM
     * @param nowNanos the local monotonic time
     * @return true if it did not answer recently
     */
    private boolean isSilent(PeerEndpoint vm, long nowNanos) {
        Long until = mSilentUntil.get(vm);
        return until != null && nowNanos - until < 0;
    }

    /**
     * Hashes the entry VMs unless that has been done.
     *
     * @param members the entry VMs that may be alive
     */
    private void update(Membership members) {
        if (members == mMembers) {
            return;
        }
        mMembers = members;
        mHashes.keySet().retainAll(members.others());
        mSilentUntil.keySet().retainAll(members.others());
        members.others().forEach(vm -> mHashes.computeIfAbsent(vm, EngineHomes::hash));
        mHashes.put(members.own(), hash(members.own()));
    }

    /**
     * Returns the hash of an entry VM.
     *
     * @param vm the entry VM
     * @return the hash, which is the same at all entry VMs
     */
    private static long hash(PeerEndpoint vm) {
        return StableHash.of(vm.host() + ':' + vm.port(), 0);
    }
}
