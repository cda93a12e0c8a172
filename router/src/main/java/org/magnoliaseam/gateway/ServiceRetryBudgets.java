package org.magnoliaseam.gateway;

import java.util.HashMap;
import java.util.Map;
import java.util.function.Supplier;
import org.magnoliaseam.model.ServiceName;
import org.magnoliaseam.retry.WindowedRetries;

/** Holds a retry budget for each service. Not thread-safe. */
final class ServiceRetryBudgets {

    /**
     * The fraction of the slack that the known entry VMs use; the rest is a reserve for entry VMs
     * that are not known through gossip.
     */
    private static final double SLACK_SHARE = 0.8;

    /** The budgets by service. */
    private final Map<ServiceName, WindowedRetries> mBudgets = new HashMap<>();

    /** The limits of retries. */
    private final Supplier<RetryLimits> mLimits;

    /**
     * Creates budgets.
     *
     * @param limits the limits of retries
     */
    ServiceRetryBudgets(Supplier<RetryLimits> limits) {
        mLimits = limits;
    }

    /**
     * Counts the first attempt of a request.
     *
     * @param service the service
     * @param nowNanos the local monotonic time
     */
    void firstTry(ServiceName service, long nowNanos) {
        budget(service).firstTry(nowNanos);
    }

    /**
     * Takes one retry from a budget if the budget allows it.
     *
     * @param service the service
     * @param vms the number of entry VMs that share the limits
     * @param nowNanos the local monotonic time
     * @return true if the retry is allowed
     */
    boolean take(ServiceName service, int vms, long nowNanos) {
        return budget(service).take(mLimits.get().ratio(), slack(vms), nowNanos);
    }

    /**
     * Tells whether a budget allows one more retry, without taking it.
     *
     * @param service the service
     * @param vms the number of entry VMs that share the limits
     * @param nowNanos the local monotonic time
     * @return true if the retry would be allowed
     */
    boolean allows(ServiceName service, int vms, long nowNanos) {
        return budget(service).allows(mLimits.get().ratio(), slack(vms), nowNanos);
    }

    /**
     * Returns the part of the slack of this entry VM.
     *
     * @param vms the number of entry VMs that share the limits
     * @return the retries that are allowed beyond the ratio
     */
    private double slack(int vms) {
        return SLACK_SHARE * mLimits.get().slack() / vms;
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
