package org.magnoliaseam.fleet;

import org.magnoliaseam.model.StartId;

/**
 * Holds a load report of a backend server.
 *
 * @param startId the run of the server
 * @param running the number of requests that it runs, from all senders
 * @param queued the number of requests in its queue
 * @param leaving whether it is shutting down
 * @param confirmedNanos the local monotonic time of arrival
 */
public record LoadReport(
        StartId startId, int running, int queued, boolean leaving, long confirmedNanos) {}
