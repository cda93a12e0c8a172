package org.magnoliaseam.dispatch;

import java.util.List;
import org.magnoliaseam.fleet.ClassFreeSlots;
import org.magnoliaseam.fleet.FleetView;
import org.magnoliaseam.fleet.TierLoad;
import org.magnoliaseam.model.RequestId;

/**
 * Decides about all requests of one entry VM. Not thread-safe: callers hold one common lock during
 * each call, and carry out the decisions after they have released it.
 */
public interface Dispatcher {

    /**
     * Updates the dispatcher with a new snapshot of the fleet.
     *
     * @param view the snapshot
     * @param nowNanos the local monotonic time
     * @return the decisions that follow
     */
    List<Decision> update(FleetView view, long nowNanos);

    /**
     * Accepts a request that is new, or that returns after a failed try or a preemption.
     *
     * @param work the request
     * @param nowNanos the local monotonic time
     * @return the decisions that follow
     */
    List<Decision> offer(WorkItem work, long nowNanos);

    /**
     * Frees the slot of a started request.
     *
     * @param id the request
     * @param nowNanos the local monotonic time
     * @return the decisions that follow
     */
    List<Decision> finished(RequestId id, long nowNanos);

    /**
     * Removes a waiting request whose caller has disconnected.
     *
     * @param id the request
     * @param nowNanos the local monotonic time
     * @return the decisions that follow
     */
    List<Decision> withdraw(RequestId id, long nowNanos);

    /**
     * Tells whether a request waits in the queue.
     *
     * @param id the request
     * @return true if it waits
     */
    boolean waits(RequestId id);

    /**
     * Makes the decisions that depend on time, such as the expiry of waiting requests. Called every
     * few milliseconds.
     *
     * @param nowNanos the local monotonic time
     * @return the decisions that follow
     */
    List<Decision> tick(long nowNanos);

    /**
     * Summarizes the load for the peers.
     *
     * @param nowNanos the local monotonic time
     * @return one entry for each tier, highest first
     */
    List<TierLoad> pressure(long nowNanos);

    /**
     * Lists the classes with free slots.
     *
     * @return one entry for each class with a free slot
     */
    List<ClassFreeSlots> room();
}
