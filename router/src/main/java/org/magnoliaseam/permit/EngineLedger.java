package org.magnoliaseam.permit;

import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;
import java.util.TreeMap;
import org.magnoliaseam.gossip.PeerEndpoint;

/**
 * Counts the prompts that wait at one engine. A permit ends with the notice of its holder, or after
 * its validity if that notice is lost. A refused question leaves a claim: for a short time less
 * urgent requests of other entry VMs get no permit, so that the order by priority holds across the
 * fleet. A small share of the permits ignores the claims, so that no priority starves. Not
 * thread-safe.
 */
final class EngineLedger {

    /** The validity of a permit in nanoseconds. */
    private static final long VALID_NANOS = 3_000_000_000L;

    /** The validity of a claim in nanoseconds; its holder asks again sooner. */
    private static final long CLAIM_NANOS = 100_000_000L;

    /**
     * The time for which a priority counts as using the engine after a question, in nanoseconds.
     */
    private static final long USING_NANOS = 2_000_000_000L;

    /** One permit out of this many ignores the claims of more urgent requests. */
    private static final int PERMITS_PER_GUARANTEED = 8;

    /** The permits that have not ended. */
    private final Map<Holder, Permit> mPermits = new HashMap<>();

    /** The claim of each entry VM. */
    private final Map<PeerEndpoint, Claim> mClaims = new HashMap<>();

    /** The local monotonic time of the last question of each priority. */
    private final TreeMap<Integer, Long> mUsers = new TreeMap<>();

    /** The permits granted so far. */
    private long mGranted;

    /** The local monotonic time of the last question. */
    private long mAskedNanos;

    /**
     * Identifies a permit.
     *
     * @param vm the entry VM that holds it
     * @param id the number that the VM chose
     */
    private record Holder(PeerEndpoint vm, long id) {}

    /**
     * Holds a permit.
     *
     * @param tokens its prompt tokens
     * @param guarded whether no other guarded request may be at the engine
     * @param nanos the local monotonic time of the grant
     */
    private record Permit(long tokens, boolean guarded, long nanos) {}

    /**
     * Holds a claim.
     *
     * @param id the number of the permit that was refused
     * @param priority the priority of the request that got no permit
     * @param nanos the local monotonic time of the question
     */
    private record Claim(long id, int priority, long nanos) {}

    /**
     * Answers a question.
     *
     * @param vm the entry VM that asks
     * @param ask what it asks for
     * @param nowNanos the local monotonic time
     * @return the answer
     */
    PermitMessage.Reply ask(PeerEndpoint vm, PermitMessage.Ask ask, long nowNanos) {
        mAskedNanos = nowNanos;
        long waiting = waitingTokens(nowNanos);
        mUsers.put(ask.priority(), nowNanos);
        boolean isolated = !ask.guarded() || isIsolated(new Holder(vm, ask.id()));
        boolean granted =
                isolated && waiting <= limit(ask, nowNanos) && !isClaimed(ask.priority(), nowNanos);
        if (granted) {
            mGranted++;
            mClaims.remove(vm);
            mPermits.put(
                    new Holder(vm, ask.id()), new Permit(ask.tokens(), ask.guarded(), nowNanos));
        } else if (isolated) {
            Claim own = mClaims.get(vm);
            boolean expired = own == null || nowNanos - own.nanos() > CLAIM_NANOS;
            if (expired || ask.priority() <= own.priority()) {
                mClaims.put(vm, new Claim(ask.id(), ask.priority(), nowNanos));
            }
        }
        return new PermitMessage.Reply(ask.id(), granted, waiting);
    }

    /**
     * Tells whether no other guarded request has a permit.
     *
     * @param holder identifies the request that asks
     * @return true if it may be at the engine
     */
    private boolean isIsolated(Holder holder) {
        return mPermits.entrySet().stream()
                .noneMatch(entry -> entry.getValue().guarded() && !entry.getKey().equals(holder));
    }

    /**
     * Returns the limit of waiting prompts for a question.
     *
     * @param ask the question
     * @param nowNanos the local monotonic time
     * @return the tokens that may wait before those of the question
     */
    private long limit(PermitMessage.Ask ask, long nowNanos) {
        for (long asked : mUsers.headMap(ask.priority()).values()) {
            if (nowNanos - asked < USING_NANOS) {
                return ask.sharedLimitTokens();
            }
        }
        return ask.limitTokens();
    }

    /**
     * Ends a permit, or the claim that its refusal left.
     *
     * @param vm the entry VM that asked for it
     * @param id its number
     */
    void done(PeerEndpoint vm, long id) {
        mPermits.remove(new Holder(vm, id));
        Claim claim = mClaims.get(vm);
        if (claim != null && claim.id() == id) {
            mClaims.remove(vm);
        }
    }

    /**
     * Tells whether the engine is no longer used.
     *
     * @param nowNanos the local monotonic time
     * @return true if it has not been asked for within the validity of a permit
     */
    boolean isUnused(long nowNanos) {
        return nowNanos - mAskedNanos > VALID_NANOS;
    }

    /**
     * Counts the waiting prompt tokens and drops expired permits.
     *
     * @param nowNanos the local monotonic time
     * @return the tokens of all permits
     */
    private long waitingTokens(long nowNanos) {
        long waiting = 0;
        Iterator<Permit> all = mPermits.values().iterator();
        while (all.hasNext()) {
            Permit permit = all.next();
            if (nowNanos - permit.nanos() > VALID_NANOS) {
                all.remove();
            } else {
                waiting += permit.tokens();
            }
        }
        return waiting;
    }

    /**
     * Tells whether a more urgent request waits for the engine.
     *
     * @param priority the priority of the request that asks
     * @param nowNanos the local monotonic time
     * @return true if the request has to leave the room to another one
     */
    private boolean isClaimed(int priority, long nowNanos) {
        mClaims.values().removeIf(claim -> nowNanos - claim.nanos() > CLAIM_NANOS);
        if (mGranted % PERMITS_PER_GUARANTEED == PERMITS_PER_GUARANTEED - 1) {
            return false;
        }
        for (Claim claim : mClaims.values()) {
            if (claim.priority() < priority) {
                return true;
            }
        }
        return false;
    }
}
