package org.magnoliaseam.gateway;

import java.util.HashMap;
import java.util.Map;
import java.util.function.Supplier;
import org.magnoliaseam.model.ServiceName;
import org.magnoliaseam.retry.WindowedRetries;

/** Holds a retry budget for each service. Not thread-safe. */
final class ServiceBudgets {

    /** The share of the slack of retries that entry VMs use; the rest covers unheard ones. */
    private static final double SLACK_SHARE = 0.8;

    /** The budgets by service. */
    private final Map<ServiceName, WindowedRetries> mBudgets = new HashMap<>();

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
     * @param nowNanos the local monotonic time
     */
    void firstTry(ServiceName service, long nowNanos) {
        budget(service).firstTry(nowNanos);
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
        RetryLimits limits = mLimits.get();
        double slack = SLACK_SHARE * limits.slack() / vms;
        return budget(service).take(limits.ratio(), slack, nowNanos);
    }

    /**
     * Returns the budget of a service.
     *
     * @param service the service
     * @return the budget
     */
    private WindowedRetries budget(ServiceName service) {
        return mBudgets.computeIfAbsent(service, name -> new WindowedRetries());
    }
}
