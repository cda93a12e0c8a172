package org.magnoliaseam.leaving;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import org.magnoliaseam.model.BackendServerId;

/**
 * Remembers which starts of backend servers are leaving. What one source says holds until a later
 * start under the same id is published, also if other sources contradict it or are out of reach.
 * Not thread-safe.
 */
public final class LeavingServers {

    /** The number of starts to remember; ids are rarely used again, so the oldest are dropped. */
    private static final int MAX_SERVERS = 4096;

    /** The starts that are leaving, oldest first. */
    private final Map<BackendServerId, Leaving> mLeaving = new LinkedHashMap<>();

    /**
     * Holds what is known of a start that is leaving.
     *
     * @param server the start of the backend server
     * @param source the first source
     * @param sinceNanos the local monotonic time at which it was learned
     */
    public record Leaving(ServerIncarnation server, LeavingSource source, long sinceNanos) {}

    /**
     * Records that a start of a backend server is leaving.
     *
     * @param server the start of the backend server
     * @param source the source
     * @param nowNanos the local monotonic time
     * @return true if it was not known before
     */
    public boolean learn(ServerIncarnation server, LeavingSource source, long nowNanos) {
        if (isLeaving(server)) {
            return false;
        }
        mLeaving.remove(server.id());
        mLeaving.put(server.id(), new Leaving(server, source, nowNanos));
        if (mLeaving.size() > MAX_SERVERS) {
            mLeaving.remove(mLeaving.keySet().iterator().next());
        }
        return true;
    }

    /**
     * Tells whether a start of a backend server is leaving.
     *
     * @param server the start of the backend server
     * @return true if it, or a later start under the same id, is leaving
     */
    public boolean isLeaving(ServerIncarnation server) {
        Leaving known = mLeaving.get(server.id());
        return known != null && !server.isLaterThan(known.server());
    }

    /**
     * Forgets an earlier start of a backend server.
     *
     * @param server the start that is published now
     * @return what was known of the earlier start, if that was leaving
     */
    public Optional<Leaving> endedBy(ServerIncarnation server) {
        Leaving known = mLeaving.get(server.id());
        if (known == null || !server.isLaterThan(known.server())) {
            return Optional.empty();
        }
        return Optional.of(mLeaving.remove(server.id()));
    }

    /**
     * Tells whether no backend server is leaving.
     *
     * @return true if none is
     */
    public boolean isEmpty() {
        return mLeaving.isEmpty();
    }
}
