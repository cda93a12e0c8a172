package org.magnoliaseam.route;

import java.util.HashSet;
import java.util.Set;
import java.util.function.Supplier;
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
     */
    void suspect(Set<BackendServerId> servers) {
        mSuspect = servers;
    }

    /**
     * Updates the servers that the request must avoid as a suspect of crashes, if there are any.
     *
     * @param servers computes the backend servers
     * @return true if they have changed
     */
    boolean refresh(Supplier<Set<BackendServerId>> servers) {
        Set<BackendServerId> before = mSuspect;
        if (!before.isEmpty()) {
            mSuspect = servers.get();
        }
        return !mSuspect.equals(before);
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
