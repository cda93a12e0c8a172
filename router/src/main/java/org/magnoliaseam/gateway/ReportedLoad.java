package org.magnoliaseam.gateway;

import java.util.OptionalDouble;

/**
 * Holds the load that a backend server reports with an answer.
 *
 * @param running the requests that it runs
 * @param waiting the requests in its queue
 * @param slots the requests that it can run at once
 * @param factor the time that work takes there at the moment, relative to the usual time; empty if
 *     it is unknown
 */
public record ReportedLoad(int running, int waiting, int slots, OptionalDouble factor) {

    /**
     * Creates a load without a factor.
     *
     * @param running the requests that the backend server runs
     * @param waiting the requests in its queue
     * @param slots the requests that it can run at once
     */
    public ReportedLoad(int running, int waiting, int slots) {
        this(running, waiting, slots, OptionalDouble.empty());
    }
}
