package org.magnoliaseam.route;

/** Updates the tracked state of a backend server under the lock of {@link FleetTracker}. */
@FunctionalInterface
interface ServerChange {

    /**
     * Applies the change.
     *
     * @param tracked the server
     * @param share the share of this entry VM in the warm limit
     * @param nowNanos the local monotonic time
     */
    void apply(TrackedServer tracked, int share, long nowNanos);
}
