package org.magnoliaseam.gateway;

import org.magnoliaseam.backend.BackendListener;

/** Receives the answer of one attempt and what the backend server states about itself with it. */
public interface AttemptListener extends BackendListener {

    /**
     * Receives the load that the backend server reports.
     *
     * @param load the load
     */
    void load(ReportedLoad load);

    /** Called when the answer says that the backend server is leaving. */
    void leaving();
}
