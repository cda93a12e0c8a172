package org.magnoliaseam.gateway;

import java.util.HashMap;
import java.util.Map;
import java.util.function.Supplier;
import org.magnoliaseam.model.ServiceName;
import org.magnoliaseam.retry.RetryBudget;

/** Holds a retry budget for each service. Not thread-safe. */
final class ServiceBudgets {

    /** The share of the slack of retries that entry VMs use; the rest covers unheard ones. */
    private static final double SLACK_SHARE = 0.8;

    /** The budgets by service. */
    private final Map<ServiceName, RetryBudget> mBudgets = new HashMap<>();

    /** The bounds of retries. */
    private final Supplier<RetryLimits> mLimits;

    /**
     * Creates budgets.
     *
     * @param limits the bounds of retries
     */
    ServiceBudgets(Supplier<RetryLimits> limits) {
        mLimits = limits;
    }

    /**
     * Counts the first try of a request.
     *
     * @param service the service
     * @param vms the entry VMs that share the bounds
     * @param nowNanos the local monotonic time
     */
    void firstTry(ServiceName service, int vms, long nowNanos) {
        budget(service, vms).firstTry(mLimits.get().ratio(), nowNanos);
    }

    /**
     * Takes one retry out of a budget if there is one.
     *
     * @param service the service
     * @param vms the entry VMs that share the bounds
     * @param nowNanos the local monotonic time
     * @return true if the request may be tried again
     */
    boolean take(ServiceName service, int vms, long nowNanos) {
        return budget(service, vms).take(mLimits.get().ratio(), nowNanos).allowed();
    }

    /**
     * Returns the budget of a service.
     *
     * @param service the service
     * @param vms the entry VMs that share the bounds
     * @return the budget, which begins with the share of the slack
     */
    private RetryBudget budget(ServiceName service, int vms) {
        double share = SLACK_SHARE * mLimits.get().slack() / vms;
        return mBudgets.computeIfAbsent(service, name -> new RetryBudget(share, share));
    }
}
