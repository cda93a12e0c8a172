package org.magnoliaseam.gateway;

import org.magnoliaseam.backend.BackendListener;

/** Takes the answer of one try and what the backend server tells about itself with it. */
public interface TryListener extends BackendListener {

    /**
     * Takes the load that the backend server states.
     *
     * @param load the load
     */
    void load(ReportedLoad load);
}
