package org.magnoliaseam.leaving;

import java.time.Duration;
import java.util.Collection;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.magnoliaseam.catalog.ServerEntry;
import org.magnoliaseam.model.BackendServerId;
import org.magnoliaseam.model.FailureDomain;

/**
 * Decides what counts of the list of a publisher that came back from an older copy. Until a time
 * limit, in which everything that was lost is published again, backend servers that had been
 * withdrawn before do not return by being in the copy, and failure domains that it lacks stay out
 * of service. Not thread-safe.
 */
public final class RestoredPublication {

    /** The number of withdrawn backend servers to remember; the oldest are dropped. */
    private static final int MAX_WITHDRAWN = 4096;

    /**
     * The time limit in heartbeats of backend servers. The publisher removes the entry of a server
     * after three heartbeats of silence; the rest is for the removal to be heard.
     */
    private static final int LIMIT_HEARTBEATS = 4;

    /** The last starts that were withdrawn, oldest first. */
    private final Map<BackendServerId, ServerIncarnation> mWithdrawn = new LinkedHashMap<>();

    /** The entries of the copy that do not count yet. */
    private final Map<BackendServerId, ServerEntry> mDeferred = new TreeMap<>();

    /** The failure domains that are published as out of service. */
    private final Set<FailureDomain> mPublishedOut = new HashSet<>();

    /** The failure domains that stay out of service although they are not published as such. */
    private final Set<FailureDomain> mKeptOut = new HashSet<>();

    /** Whether the time limit runs. */
    private boolean mActive;

    /** The local monotonic time at which it ends. */
    private long mUntilNanos;

    /**
     * Returns the time limit.
     *
     * @param heartbeat the interval at which backend servers publish their entries
     * @return the time in which everything that was lost is published again
     */
    public static Duration limit(Duration heartbeat) {
        return heartbeat.multipliedBy(LIMIT_HEARTBEATS);
    }

    /**
     * Records that the publisher came back from a copy; its list follows.
     *
     * @param limit the time in which everything that was lost is published again
     * @param nowNanos the local monotonic time
     */
    public void began(Duration limit, long nowNanos) {
        mActive = true;
        mUntilNanos = nowNanos + limit.toNanos();
        mKeptOut.addAll(mPublishedOut);
    }

    /**
     * Records that the entry of a backend server was withdrawn.
     *
     * @param server the start of the backend server
     */
    public void withdrawn(ServerIncarnation server) {
        mWithdrawn.remove(server.id());
        mWithdrawn.put(server.id(), server);
        if (mWithdrawn.size() > MAX_WITHDRAWN) {
            mWithdrawn.remove(mWithdrawn.keySet().iterator().next());
        }
    }

    /**
     * Records that no entry of a backend server is published any more.
     *
     * @param id the backend server
     */
    public void removed(BackendServerId id) {
        mDeferred.remove(id);
    }

    /**
     * Records that a backend server has published its entry.
     *
     * @param id the backend server
     */
    public void published(BackendServerId id) {
        mWithdrawn.remove(id);
        mDeferred.remove(id);
    }

    /**
     * Decides whether an entry of a full list does not count yet, since it is the one that was
     * withdrawn before.
     *
     * @param entry the entry
     * @return true if it is kept until its backend server publishes it again or the time is over
     */
    public boolean defers(ServerEntry entry) {
        ServerIncarnation withdrawn = mWithdrawn.get(entry.id());
        ServerIncarnation listed = new ServerIncarnation(entry.id(), entry.startMark());
        if (!mActive || withdrawn == null || listed.isLaterThan(withdrawn)) {
            return false;
        }
        mDeferred.put(entry.id(), entry);
        return true;
    }

    /**
     * Forgets the entries that a full list lacks.
     *
     * @param listed the backend servers in the list
     */
    public void retain(Set<BackendServerId> listed) {
        mDeferred.keySet().retainAll(listed);
    }

    /**
     * Records which failure domains are published as out of service. One that is published as such
     * again returns when that is withdrawn.
     *
     * @param published all of them
     */
    public void publishedOutOfService(Collection<FailureDomain> published) {
        mPublishedOut.clear();
        mPublishedOut.addAll(published);
        mKeptOut.removeAll(published);
    }

    /**
     * Returns the failure domains that are out of service.
     *
     * @return those that are published as such, and those that the copy lacks
     */
    public Set<FailureDomain> outOfService() {
        Set<FailureDomain> out = new HashSet<>(mPublishedOut);
        out.addAll(mKeptOut);
        return out;
    }

    /**
     * Ends the time limit if it is over. From then on the list of the publisher counts as it is.
     *
     * @param nowNanos the local monotonic time
     * @return the entries that count from now on
     */
    public List<ServerEntry> settle(long nowNanos) {
        if (!mActive || nowNanos - mUntilNanos < 0) {
            return List.of();
        }
        mActive = false;
        mKeptOut.clear();
        List<ServerEntry> settled = List.copyOf(mDeferred.values());
        mDeferred.clear();
        return settled;
    }
}
