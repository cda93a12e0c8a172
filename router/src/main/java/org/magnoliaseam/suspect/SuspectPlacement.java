package org.magnoliaseam.suspect;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import org.magnoliaseam.model.BackendServerId;

/**
 * Isolates guarded requests: at most one runs on each backend server, and each runs on only one
 * server at a time. Not thread-safe.
 */
public final class SuspectPlacement {

    /** The guarded request that runs on each server. */
    private final Map<BackendServerId, Fingerprint> mRunning = new HashMap<>();

    /**
     * Returns the servers that must not be sent a guarded request now.
     *
     * @param fingerprint the request
     * @param candidates the servers that could run it
     * @return the servers to exclude; all candidates while the same request is already running
     */
    public Set<BackendServerId> excluded(Fingerprint fingerprint, Set<BackendServerId> candidates) {
        return mRunning.containsValue(fingerprint)
                ? Set.copyOf(candidates)
                : Set.copyOf(mRunning.keySet());
    }

    /**
     * Records the start of a guarded request.
     *
     * @param fingerprint the request
     * @param server the server that runs it
     */
    public void started(Fingerprint fingerprint, BackendServerId server) {
        mRunning.put(server, fingerprint);
    }

    /**
     * Records the end of a guarded request, including an end by a crash.
     *
     * @param fingerprint the request
     * @param server the server that ran it
     */
    public void ended(Fingerprint fingerprint, BackendServerId server) {
        mRunning.remove(server, fingerprint);
    }
}
