package org.magnoliaseam.gateway;

import org.magnoliaseam.time.MonotonicClock;

/** Asks the retry budgets for requests. Thread-safe; guarded by the lock of the server pool. */
final class RequestRetries {

    /** The server pool, whose lock guards the budgets. */
    private final ServerPool mPool;

    /** The retry budget of each service. */
    private final ServiceRetryBudgets mBudgets;

    /** Knows the number of entry VMs. */
    private final VmShares mShares;

    /** The clock. */
    private final MonotonicClock mClock;

    /**
     * Creates the access to the budgets.
     *
     * @param pool the server pool, whose lock guards the budgets
     * @param budgets the retry budget of each service
     * @param shares knows the number of entry VMs
     * @param clock the clock
     */
    RequestRetries(
            ServerPool pool, ServiceRetryBudgets budgets, VmShares shares, MonotonicClock clock) {
        mPool = pool;
        mBudgets = budgets;
        mShares = shares;
        mClock = clock;
    }

    /**
     * Tells whether the retry budget allows a retry, without taking it.
     *
     * @param request the request
     * @return true if {@link #take} would allow it
     */
    boolean allows(GatewayRequest request) {
        synchronized (mPool) {
            return mBudgets.allows(request.service().name(), mShares.vms(), mClock.nanos());
        }
    }

    /**
     * Takes one retry from the retry budget.
     *
     * @param request the request
     * @return true if the budget allows the retry
     */
    boolean take(GatewayRequest request) {
        synchronized (mPool) {
            return mBudgets.take(request.service().name(), mShares.vms(), mClock.nanos());
        }
    }
}
