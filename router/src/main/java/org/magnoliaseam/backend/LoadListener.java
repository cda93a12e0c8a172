package org.magnoliaseam.backend;

import org.magnoliaseam.fleet.LoadReport;
import org.magnoliaseam.model.BackendServerId;

/** Receives the load reports of backend servers. */
public interface LoadListener {

    /**
     * Receives a report.
     *
     * @param id the backend server
     * @param report the report
     */
    void reported(BackendServerId id, LoadReport report);

    /**
     * Called if no connection could be made or the report is malformed.
     *
     * @param id the backend server
     */
    void unreachable(BackendServerId id);
}
