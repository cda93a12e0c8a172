package org.magnoliaseam.gateway;

import java.util.HashSet;
import java.util.Set;
import org.magnoliaseam.catalog.Route;
import org.magnoliaseam.model.BackendServerId;

/** Counts the tries of one request and bounds them. Not thread-safe. */
final class TryHistory {

    /** The sends that a request may need beyond the tries that may have run. */
    private static final int EXTRA_SENDS = 2;

    /** The backend servers that the request has met. */
    private final Set<BackendServerId> mMet = new HashSet<>();

    /** The tries that were sent. */
    private int mSends;

    /** The tries that may have run. */
    private int mRuns;

    /** Counts a try that is sent. */
    void sent() {
        mSends++;
    }

    /** Counts a try that may have run. */
    void mayHaveRun() {
        mRuns++;
    }

    /**
     * Excludes a backend server from further tries.
     *
     * @param server the backend server
     */
    void met(BackendServerId server) {
        mMet.add(server);
    }

    /**
     * Returns the backend servers that the request has met.
     *
     * @return the excluded ones
     */
    Set<BackendServerId> met() {
        return mMet;
    }

    /**
     * Tells whether a try may have run.
     *
     * @return true if the request must not be called not run
     */
    boolean ran() {
        return mRuns > 0;
    }

    /**
     * Tells whether the request may be sent once more.
     *
     * @param route the route
     * @return true while tries are left
     */
    boolean mayTryAgain(Route route) {
        return mRuns < route.maxTries() && mSends < route.maxTries() + EXTRA_SENDS;
    }
}
