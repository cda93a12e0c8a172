package org.magnoliaseam.gateway;

import java.util.HashSet;
import java.util.Set;
import org.magnoliaseam.catalog.Route;
import org.magnoliaseam.error.ErrorKind;
import org.magnoliaseam.error.Executed;
import org.magnoliaseam.model.BackendServerId;

/** Counts and limits the attempts of one request. Not thread-safe. */
final class AttemptHistory {

    /** The attempts that a request may send beyond the largest number that may run. */
    private static final int EXTRA_SENDS = 2;

    /** The backend servers that get no further attempt. */
    private final Set<BackendServerId> mExcluded = new HashSet<>();

    /** The attempts that were sent. */
    private int mSends;

    /** The attempts that may have run. */
    private int mPossibleRuns;

    /** Counts an attempt that is sent. */
    void sent() {
        mSends++;
    }

    /** Counts an attempt as not sent, because it was held back before its first byte. */
    void heldBack() {
        mSends--;
    }

    /** Counts an attempt that may have run. */
    void countPossibleRun() {
        mPossibleRuns++;
    }

    /**
     * Excludes a backend server from further attempts.
     *
     * @param server the backend server
     */
    void exclude(BackendServerId server) {
        mExcluded.add(server);
    }

    /**
     * Returns the backend servers that get no further attempt.
     *
     * @return the excluded backend servers
     */
    Set<BackendServerId> excluded() {
        return mExcluded;
    }

    /**
     * Tells whether a backend server may have run the request.
     *
     * @return true if the request must not be reported as not run
     */
    boolean mayHaveBeenExecuted() {
        return mPossibleRuns > 0;
    }

    /**
     * Returns the error kind that callers are told.
     *
     * @param kind why the request ends
     * @return one that does not claim that the request has not run if it may have
     */
    ErrorKind reported(ErrorKind kind) {
        return mayHaveBeenExecuted() && kind.executed() == Executed.NO
                ? ErrorKind.BACKEND_FAILED
                : kind;
    }

    /**
     * Describes the attempts for the log.
     *
     * @param route the route
     * @return the attempts that were sent, those that may have run, and how many may
     */
    String describe(Route route) {
        return "sends=" + mSends + " runs=" + mPossibleRuns + " of=" + route.maxTries();
    }

    /**
     * Tells whether the route allows another attempt.
     *
     * @param route the route
     * @return true while attempts are left
     */
    boolean allowsAnother(Route route) {
        return allowsAnother(route, mPossibleRuns);
    }

    /**
     * Tells whether the route allows another attempt beside the one in progress, which may have
     * run.
     *
     * @param route the route
     * @return true while attempts are left
     */
    boolean allowsSuccessor(Route route) {
        return allowsAnother(route, mPossibleRuns + 1);
    }

    /**
     * Tells whether the route allows another attempt.
     *
     * @param route the route
     * @param runs the attempts that may have run
     * @return true while attempts are left
     */
    private boolean allowsAnother(Route route, int runs) {
        return runs < route.maxTries() && mSends < route.maxTries() + EXTRA_SENDS;
    }
}
