package org.magnoliaseam.route;

import java.util.HashSet;
import java.util.Set;
import org.magnoliaseam.model.BackendServerId;

/**
 * Holds the backend servers that one request must avoid. Guarded by the lock of {@link
 * ActiveRequest}.
 */
final class ServerExclusions {

    /** The servers at which an attempt failed. */
    private final Set<BackendServerId> mFailed = new HashSet<>();

    /** The servers that the request must avoid as a suspect of crashes. */
    private Set<BackendServerId> mSuspect = Set.of();

    /**
     * Excludes a server at which an attempt failed.
     *
     * @param server the backend server
     */
    void failed(BackendServerId server) {
        mFailed.add(server);
    }

    /**
     * Replaces the servers that the request must avoid as a suspect of crashes.
     *
     * @param servers the backend servers
     * @return true if they have changed
     */
    boolean suspect(Set<BackendServerId> servers) {
        boolean changed = !servers.equals(mSuspect);
        mSuspect = servers;
        return changed;
    }

    /**
     * Returns whether the request must avoid servers as a suspect of crashes.
     *
     * @return true if it must avoid one or more
     */
    boolean anySuspect() {
        return !mSuspect.isEmpty();
    }

    /**
     * Returns all excluded servers.
     *
     * @return a copy
     */
    Set<BackendServerId> all() {
        Set<BackendServerId> all = new HashSet<>(mFailed);
        all.addAll(mSuspect);
        return all;
    }
}
