package org.magnoliaseam.burn;

/**
 * Holds the number of requests and how many of them were bad.
 *
 * @param total all requests
 * @param bad the requests that missed a target or were refused
 */
public record BurnCount(long total, long bad) {

    /** The count of no requests. */
    public static final BurnCount NONE = new BurnCount(0, 0);

    /**
     * Adds another count.
     *
     * @param other the other count
     * @return the sum
     */
    public BurnCount plus(BurnCount other) {
        return new BurnCount(total + other.total, bad + other.bad);
    }

    /**
     * Returns the fraction of requests that met their targets.
     *
     * @return the fraction; 1 if there were no requests
     */
    public double attainment() {
        return total == 0 ? 1 : 1 - (double) bad / total;
    }

    /**
     * Computes the rate at which the error budget is consumed.
     *
     * @param objective the fraction of requests that must meet the targets
     * @return the burn rate; at 1 the budget is used up exactly at the end of its period
     */
    public double burnRate(double objective) {
        if (bad == 0) {
            return 0;
        }
        double budget = 1 - objective;
        return budget <= 0 ? Double.MAX_VALUE : (1 - attainment()) / budget;
    }
}
