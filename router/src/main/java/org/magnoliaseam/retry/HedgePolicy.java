package org.magnoliaseam.retry;

import org.magnoliaseam.model.Tier;
import org.magnoliaseam.settings.RequestClass;

/**
 * Decides whether a request without a first token is hedged, that is, also sent to a second backend
 * server. Not thread-safe.
 */
public final class HedgePolicy {

    /** The quantile of the time to the first token after which a request is hedged. */
    public static final double HEDGE_QUANTILE = 0.95;

    /** The budget that hedged requests share with retries. */
    private final RetryBudget mBudget;

    /**
     * Creates a policy.
     *
     * @param budget the budget that hedged requests share with retries
     */
    public HedgePolicy(RetryBudget budget) {
        mBudget = budget;
    }

    /**
     * Decides about one request, and takes one retry out of the budget if it is hedged.
     *
     * @param requestClass the class of the request
     * @param firstTokens the times to the first token of the class on this entry VM, in
     *     milliseconds
     * @param waitedMillis the time since the request was sent, in milliseconds
     * @param fraction the allowed retries as a fraction of first tries
     * @param nowNanos the local monotonic time
     * @return whether the request may be sent a second time
     */
    public RetryDecision decide(
            RequestClass requestClass,
            RecentQuantile firstTokens,
            double waitedMillis,
            double fraction,
            long nowNanos) {
        if (!requestClass.idempotent()) {
            return new RetryDecision(false, "the class is not idempotent");
        }
        if (!requestClass.tier().equals(Tier.HIGHEST)) {
            return new RetryDecision(false, "only the highest tier is hedged");
        }
        if (!(waitedMillis > firstTokens.quantile(HEDGE_QUANTILE))) {
            return new RetryDecision(false, "the first token is not late");
        }
        return mBudget.take(fraction, nowNanos);
    }
}
