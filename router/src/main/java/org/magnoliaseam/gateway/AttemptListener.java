package org.magnoliaseam.gateway;

import org.magnoliaseam.backend.BackendListener;

/** Receives the answer of one attempt and the load that the backend server reports with it. */
public interface AttemptListener extends BackendListener {

    /**
     * Receives the load that the backend server reports.
     *
     * @param load the load
     */
    void load(ReportedLoad load);
}
