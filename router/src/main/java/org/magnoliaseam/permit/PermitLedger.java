package org.magnoliaseam.permit;

import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.atomic.AtomicLong;
import org.magnoliaseam.gossip.PeerEndpoint;
import org.magnoliaseam.model.BackendServerId;

/** Counts the prompts that wait at the engines whose home this entry VM is. Not thread-safe. */
public final class PermitLedger {

    /** The questions refused because of the slots. */
    private final AtomicLong mSlotRefusals = new AtomicLong();

    /** The permits of each engine. */
    private final Map<BackendServerId, EngineLedger> mEngines = new HashMap<>();

    /**
     * Grants a permit if few prompts wait at the engine and no more urgent request does.
     *
     * @param vm the entry VM that asks
     * @param ask what it asks for
     * @param nowNanos the local monotonic time
     * @return the answer
     */
    public PermitMessage.Reply ask(PeerEndpoint vm, PermitMessage.Ask ask, long nowNanos) {
        return engine(ask.server()).ask(vm, ask, nowNanos);
    }

    /**
     * Ends a permit.
     *
     * @param vm the entry VM that holds it
     * @param done the notice
     */
    public void done(PeerEndpoint vm, PermitMessage.Done done) {
        EngineLedger engine = mEngines.get(done.server());
        if (engine != null) {
            engine.done(vm, done.id());
        }
    }

    /**
     * Ends a permit that counts for a slot.
     *
     * @param vm the entry VM that holds it
     * @param release the notice
     * @param nowNanos the local monotonic time
     */
    public void release(PeerEndpoint vm, PermitMessage.Release release, long nowNanos) {
        EngineLedger engine = mEngines.get(release.server());
        if (engine != null) {
            engine.release(vm, release.id(), nowNanos);
        }
    }

    /**
     * Renews permits that count for a slot.
     *
     * @param vm the entry VM that holds them
     * @param renewal the permits
     * @param nowNanos the local monotonic time
     */
    public void renew(PeerEndpoint vm, PermitMessage.Renewal renewal, long nowNanos) {
        for (PermitMessage.Renewal.Entry entry : renewal.entries()) {
            engine(entry.server()).renew(vm, entry, nowNanos);
        }
    }

    /**
     * Returns the permits of an engine.
     *
     * @param server the engine
     * @return its permits
     */
    private EngineLedger engine(BackendServerId server) {
        return mEngines.computeIfAbsent(server, id -> new EngineLedger(mSlotRefusals));
    }

    /**
     * Returns the questions refused because of the slots.
     *
     * @return the number so far
     */
    public long slotRefusals() {
        return mSlotRefusals.get();
    }

    /**
     * Counts the slots in use.
     *
     * @param nowNanos the local monotonic time
     * @return the slots in use at all engines whose home this entry VM is
     */
    public int usedSlots(long nowNanos) {
        return mEngines.values().stream().mapToInt(engine -> engine.usedSlots(nowNanos)).sum();
    }

    /**
     * Counts the slots that are kept for the most urgent requests.
     *
     * @param nowNanos the local monotonic time
     * @return the reserve at all engines whose home this entry VM is, with the slots in use of it
     */
    public int reservedSlots(long nowNanos) {
        return mEngines.values().stream().mapToInt(engine -> engine.reservedSlots(nowNanos)).sum();
    }

    /**
     * Forgets engines without permits that nobody has asked for recently.
     *
     * @param nowNanos the local monotonic time
     */
    public void expire(long nowNanos) {
        mEngines.values().removeIf(engine -> engine.isUnused(nowNanos));
    }
}
