package org.magnoliaseam.gateway;

import java.util.ArrayList;
import java.util.List;

/**
 * Runs decisions under a lock, and what they ask for afterwards without it. The client for backend
 * servers may begin another request on the calling thread, so calling it under the lock of one
 * request can deadlock with a thread that holds the lock of the other.
 */
final class DeferredActions {

    /** The actions of the present decision in order; guarded by this object. */
    private final List<Runnable> mActions = new ArrayList<>();

    /**
     * Asks for an action after the present decision.
     *
     * @param action the action
     */
    void add(Runnable action) {
        mActions.add(action);
    }

    /**
     * Runs a decision under the lock, then its actions. A decision within another one leaves its
     * actions to that one.
     *
     * @param decision the decision
     */
    void decide(Runnable decision) {
        boolean nested = Thread.holdsLock(this);
        List<Runnable> actions;
        synchronized (this) {
            decision.run();
            if (nested || mActions.isEmpty()) {
                return;
            }
            actions = List.copyOf(mActions);
            mActions.clear();
        }
        actions.forEach(Runnable::run);
    }
}
