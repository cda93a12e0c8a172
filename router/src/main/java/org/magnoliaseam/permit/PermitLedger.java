package org.magnoliaseam.permit;

import java.util.HashMap;
import java.util.Map;
import org.magnoliaseam.gossip.PeerEndpoint;
import org.magnoliaseam.model.BackendServerId;

/** Counts the prompts that wait at the engines whose home this entry VM is. Not thread-safe. */
public final class PermitLedger {

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
        return mEngines.computeIfAbsent(ask.server(), server -> new EngineLedger())
                .ask(vm, ask, nowNanos);
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
     * Forgets engines without permits that nobody has asked for recently.
     *
     * @param nowNanos the local monotonic time
     */
    public void expire(long nowNanos) {
        mEngines.values().removeIf(engine -> engine.isUnused(nowNanos));
    }
}
