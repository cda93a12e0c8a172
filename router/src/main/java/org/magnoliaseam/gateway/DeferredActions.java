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

    /**
     * Creates a lock without actions.
     *
     * @param failures logs unexpected failures
     * @param request the request
     */
    DeferredActions(FailureLog failures, RequestId request) {
        mFailures = failures;
        mRequest = request;
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
     * run after the outermost one.
     *
     * @param decision the decision
     */
    void decide(Runnable decision) {
        boolean nested = Thread.holdsLock(this);
        List<Runnable> actions;
        synchronized (this) {
            observe(FailedStep.DECISION, decision);
            if (nested || mActions.isEmpty()) {
                return;
            }
            actions = List.copyOf(mActions);
            mActions.clear();
        }
        actions.forEach(action -> observe(FailedStep.ACTION, action));
    }

    /**
     * Runs a step and logs its failure.
     *
     * @param kind the kind of step
     * @param step the step
     */
    private void observe(FailedStep kind, Runnable step) {
        try {
            step.run();
        } catch (RuntimeException | Error e) {
            mFailures.failed(kind, mRequest.value(), e);
            throw e;
        }
    }
}
