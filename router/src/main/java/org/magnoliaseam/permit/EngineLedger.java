package org.magnoliaseam.permit;

import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.atomic.AtomicLong;
import org.magnoliaseam.gossip.PeerEndpoint;

/**
 * Counts the prompts that wait at one engine and, where they are scarce, its slots in use. A permit
 * ends with the notice of its holder, or after its validity if that notice is lost. One that counts
 * for a slot lasts until its request ends and is renewed by its holder. A refused question leaves a
 * claim: for a short time less urgent requests of other entry VMs get no permit, so that the order
 * by priority holds across the fleet. A small share of the permits ignores the claims, so that no
 * priority starves. Not thread-safe.
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

    /** The questions refused because of the slots, at all engines. */
    private final AtomicLong mSlotRefusals;

    /** The slots that are kept for the most urgent requests. */
    private final SlotReserve mReserve = new SlotReserve();

    /** The slots of the engine that the last question stated; 0 if they are not counted. */
    private int mSlots;

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
     * @param slot whether it counts for a slot
     * @param priority the priority of its request
     * @param sinceNanos the local monotonic time of the grant
     * @param nanos the local monotonic time of the grant or the last renewal
     */
    private record Permit(
            long tokens, boolean guarded, boolean slot, int priority, long sinceNanos, long nanos) {

        /**
         * Returns the permit after a renewal.
         *
         * @param processed whether the prompt no longer waits
         * @param nowNanos the local monotonic time
         * @return the permit
         */
        private Permit renewed(boolean processed, long nowNanos) {
            long left = processed ? 0 : tokens;
            return new Permit(left, guarded && !processed, slot, priority, sinceNanos, nowNanos);
        }
    }

    /**
     * Holds a claim.
     *
     * @param id the number of the permit that was refused
     * @param priority the priority of the request that got no permit
     * @param nanos the local monotonic time of the question
     */
    private record Claim(long id, int priority, long nanos) {}

    /**
     * Creates a ledger without permits.
     *
     * @param slotRefusals counts the questions refused because of the slots
     */
    EngineLedger(AtomicLong slotRefusals) {
        mSlotRefusals = slotRefusals;
    }

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
        Holder holder = new Holder(vm, ask.id());
        long waiting = waitingTokens(nowNanos) - tokens(holder);
        mUsers.put(ask.priority(), nowNanos);
        mSlots = ask.slots();
        boolean isolated = !ask.guarded() || isIsolated(holder);
        boolean fits =
                isolated && waiting <= limit(ask, nowNanos) && !isClaimed(ask.priority(), nowNanos);
        boolean granted = fits && (ask.slots() == 0 || hasSlot(ask, holder, nowNanos));
        if (fits && !granted) {
            mSlotRefusals.incrementAndGet();
        }
        if (granted) {
            grant(holder, ask, nowNanos);
        } else if (isolated) {
            Claim claim = mClaims.get(vm);
            boolean expired = claim == null || nowNanos - claim.nanos() > CLAIM_NANOS;
            if (expired || ask.priority() <= claim.priority()) {
                mClaims.put(vm, new Claim(ask.id(), ask.priority(), nowNanos));
            }
        }
        return new PermitMessage.Reply(ask.id(), granted, waiting);
    }

    /**
     * Returns the prompt tokens of a permit, which a repeated question does not wait for.
     *
     * @param holder identifies the permit
     * @return the tokens; 0 if there is no such permit
     */
    private long tokens(Holder holder) {
        Permit permit = mPermits.get(holder);
        return permit == null ? 0 : permit.tokens();
    }

    /**
     * Records a permit.
     *
     * @param holder identifies the request
     * @param ask what it asked for
     * @param nowNanos the local monotonic time
     */
    private void grant(Holder holder, PermitMessage.Ask ask, long nowNanos) {
        mGranted++;
        mClaims.remove(holder.vm());
        boolean slot = ask.slots() > 0;
        Permit before =
                mPermits.put(
                        holder,
                        new Permit(
                                ask.tokens(),
                                ask.guarded(),
                                slot,
                                ask.priority(),
                                nowNanos,
                                nowNanos));
        if (slot && before == null) {
            mReserve.started(ask.priority(), nowNanos);
        }
    }

    /**
     * Tells whether a slot is free, and not kept for more urgent requests.
     *
     * @param ask the question
     * @param holder identifies the request that asks
     * @param nowNanos the local monotonic time
     * @return true if the request may have a slot
     */
    private boolean hasSlot(PermitMessage.Ask ask, Holder holder, long nowNanos) {
        int urgent = mReserve.mostUrgent();
        int used = 0;
        int usedByUrgent = 0;
        for (Map.Entry<Holder, Permit> entry : mPermits.entrySet()) {
            if (entry.getValue().slot() && !entry.getKey().equals(holder)) {
                used++;
                usedByUrgent += entry.getValue().priority() <= urgent ? 1 : 0;
            }
        }
        int reserve =
                ask.priority() <= urgent
                        ? 0
                        : Math.max(0, mReserve.slots(ask.slots(), nowNanos) - usedByUrgent);
        return used < ask.slots() - reserve;
    }

    /**
     * Counts the slots in use.
     *
     * @param nowNanos the local monotonic time
     * @return the slots in use; 0 if they are not counted
     */
    int usedSlots(long nowNanos) {
        waitingTokens(nowNanos);
        return (int) mPermits.values().stream().filter(Permit::slot).count();
    }

    /**
     * Returns the slots that are kept for the most urgent requests.
     *
     * @param nowNanos the local monotonic time
     * @return the slots, with those that these requests use
     */
    int reservedSlots(long nowNanos) {
        return mReserve.slots(mSlots, nowNanos);
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
     * Records that a prompt no longer waits, which ends a permit that counts for no slot, or ends
     * the claim that a refusal left.
     *
     * @param vm the entry VM that asked for it
     * @param id its number
     */
    void done(PeerEndpoint vm, long id) {
        mPermits.computeIfPresent(
                new Holder(vm, id),
                (holder, permit) -> permit.slot() ? permit.renewed(true, permit.nanos()) : null);
        Claim claim = mClaims.get(vm);
        if (claim != null && claim.id() == id) {
            mClaims.remove(vm);
        }
    }

    /**
     * Ends a permit that counts for a slot.
     *
     * @param vm the entry VM that holds it
     * @param id its number
     * @param nowNanos the local monotonic time
     */
    void release(PeerEndpoint vm, long id, long nowNanos) {
        Permit permit = mPermits.remove(new Holder(vm, id));
        if (permit != null) {
            mReserve.ended(permit.priority(), nowNanos - permit.sinceNanos());
        }
    }

    /**
     * Renews a permit that counts for a slot; one that is not known is counted from now on.
     *
     * @param vm the entry VM that holds it
     * @param entry the permit
     * @param nowNanos the local monotonic time
     */
    void renew(PeerEndpoint vm, PermitMessage.Renewal.Entry entry, long nowNanos) {
        mAskedNanos = nowNanos;
        mPermits.merge(
                new Holder(vm, entry.id()),
                new Permit(0, false, true, entry.priority(), nowNanos, nowNanos),
                (known, unused) -> known.renewed(entry.processed(), nowNanos));
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
