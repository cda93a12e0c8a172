package org.magnoliaseam.gateway;

import java.util.ArrayList;
import java.util.List;
import org.magnoliaseam.failure.FailedStep;
import org.magnoliaseam.failure.FailureLog;
import org.magnoliaseam.model.RequestId;

/**
 * Runs decisions under a lock and then, without the lock, the actions that they added. The client
 * for backend servers may begin another request on the calling thread. Calling it under the lock of
 * one request could therefore deadlock with a thread that holds the lock of the other.
 */
final class DeferredActions {

    /** The actions added by the current decision, in order; guarded by this object. */
    private final List<Runnable> mActions = new ArrayList<>();

    /** Logs unexpected failures. */
    private final FailureLog mFailures;

    /** The request. */
    private final RequestId mRequest;

    /** Decides what follows if the request cannot go on; runs under the lock. */
    private final Runnable mOnFailure;

    /**
     * Creates a lock without actions.
     *
     * @param failures logs unexpected failures
     * @param request the request
     * @param onFailure decides what follows if the request cannot go on; runs under the lock
     */
    DeferredActions(FailureLog failures, RequestId request, Runnable onFailure) {
        mFailures = failures;
        mRequest = request;
        mOnFailure = onFailure;
    }

    /**
     * Adds an action that runs after the current decision, without the lock.
     *
     * @param action the action
     */
    void add(Runnable action) {
        mActions.add(action);
    }

    /**
     * Runs a decision under the lock, then its actions without it. The actions of a nested decision
     * run after the outermost one. Each action runs whatever the others do; if a decision throws,
     * the one for failures follows it.
     *
     * @param decision the decision
     */
    void decide(Runnable decision) {
        if (Thread.holdsLock(this)) {
            decision.run();
            return;
        }
        List<Runnable> actions;
        synchronized (this) {
            if (!guard(FailedStep.DECISION, decision)) {
                guard(FailedStep.DECISION, mOnFailure);
            }
            actions = List.copyOf(mActions);
            mActions.clear();
        }
        actions.forEach(action -> guard(FailedStep.ACTION, action));
    }

    /**
     * Runs a step on which the rest of the request depends, without the lock.
     *
     * @param step the step; if it throws, the decision for failures follows
     * @return false if it threw
     */
    boolean run(Runnable step) {
        boolean done = guard(FailedStep.ACTION, step);
        if (!done) {
            decide(mOnFailure);
        }
        return done;
    }

    /**
     * Runs a step.
     *
     * @param kind the kind of step
     * @param step the step
     * @return false if it threw
     */
    private boolean guard(FailedStep kind, Runnable step) {
        return mFailures.guard(kind, mRequest.value(), step);
    }
}
