package org.magnoliaseam.suspect;

import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import org.magnoliaseam.membership.StableHash;

/** Holds the recorded crashes of backend servers. Not thread-safe. */
final class CrashTable {

    /** The largest number of crashes of one start that are looked for. */
    private static final int MAX_CRASHES_OF_START = 8;

    /** The largest number of crashes to keep; the one that is unused the longest is dropped. */
    private final int mMaxCrashes;

    /** The crashes by the hash of the start of the backend server. */
    private final Map<Long, Crash> mCrashes = new LinkedHashMap<>();

    /**
     * Creates an empty table.
     *
     * @param maxCrashes the largest number of crashes to keep
     */
    CrashTable(int maxCrashes) {
        mMaxCrashes = maxCrashes;
    }

    /**
     * Identifies the crash at which a request was lost. A request that was sent after a recorded
     * crash was lost at another one, also if the backend server is not published anew.
     *
     * @param server the hash of the start of the backend server
     * @param sentNanos the local monotonic time at which the request was sent
     * @return the hash to record the crash under
     */
    long crashOf(long server, long sentNanos) {
        long hash = server;
        for (Crash crash = mCrashes.get(hash);
                crash != null && sentNanos - crash.nanos() > 0;
                crash = mCrashes.get(hash)) {
            hash = nextHash(hash);
        }
        return hash;
    }

    /**
     * Finds the crashes of a start that fall into a time at which it is known to have lived.
     *
     * @param server the hash of the start of the backend server
     * @param fromNanos the local monotonic time from which it is known to have lived
     * @param toNanos the local monotonic time until which it is
     * @return the hashes that the crashes are recorded under
     */
    List<Long> refuted(long server, long fromNanos, long toNanos) {
        List<Long> refuted = new ArrayList<>();
        long hash = server;
        for (int i = 0; i < MAX_CRASHES_OF_START; i++) {
            Crash crash = mCrashes.get(hash);
            if (crash != null && crash.nanos() - fromNanos > 0 && toNanos - crash.nanos() > 0) {
                refuted.add(hash);
            }
            hash = nextHash(hash);
        }
        return refuted;
    }

    /**
     * Returns the hash of the next crash of the same start.
     *
     * @param hash the hash of a crash
     * @return the hash
     */
    private static long nextHash(long hash) {
        return StableHash.mix(hash + 1);
    }

    /**
     * Adds an unanswered request.
     *
     * @param server the hash to record the crash under
     * @param domain the hash of the failure domain of the backend server
     * @param crashNanos the local monotonic time of the crash
     * @param marks the marks of the request
     * @param sentNanos the local monotonic time at which the request was sent
     * @return false if it is known already or there are too many
     */
    boolean add(long server, long domain, long crashNanos, Set<RequestMark> marks, long sentNanos) {
        Crash crash = mCrashes.computeIfAbsent(server, hash -> new Crash(hash, domain, crashNanos));
        if (!crash.add(marks, sentNanos)) {
            return false;
        }
        if (mCrashes.size() > mMaxCrashes) {
            mCrashes.values().stream()
                    .min((a, b) -> Long.signum(a.usedNanos() - b.usedNanos()))
                    .ifPresent(oldest -> mCrashes.remove(oldest.server()));
        }
        return true;
    }

    /**
     * Returns a crash.
     *
     * @param server the hash that it is recorded under
     * @return the crash; empty if it is not recorded
     */
    Optional<Crash> crash(long server) {
        return Optional.ofNullable(mCrashes.get(server));
    }

    /**
     * Returns all crashes.
     *
     * @return the crashes
     */
    Collection<Crash> crashes() {
        return mCrashes.values();
    }

    /**
     * Returns the unanswered requests with a mark.
     *
     * @param mark the mark
     * @return the hashes of the crashes, with the marks of the requests
     */
    Map<Long, Set<Set<RequestMark>>> requestsWith(RequestMark mark) {
        Map<Long, Set<Set<RequestMark>>> found = new LinkedHashMap<>();
        for (Crash crash : mCrashes.values()) {
            Set<Set<RequestMark>> requests =
                    crash.requests().stream()
                            .filter(marks -> marks.contains(mark))
                            .collect(Collectors.toUnmodifiableSet());
            if (!requests.isEmpty()) {
                found.put(crash.server(), requests);
            }
        }
        return found;
    }

    /**
     * Removes a mark from all requests, because it has not caused the crashes.
     *
     * @param mark the mark
     * @return true if a request had it
     */
    boolean remove(RequestMark mark) {
        boolean changed = false;
        for (Crash crash : mCrashes.values()) {
            changed |= crash.remove(mark);
        }
        if (changed) {
            mCrashes.values().removeIf(crash -> crash.requests().isEmpty());
        }
        return changed;
    }

    /**
     * Removes a crash that did not happen.
     *
     * @param server the hash that it is recorded under
     * @return true if it was recorded
     */
    boolean remove(long server) {
        return mCrashes.remove(server) != null;
    }

    /**
     * Removes the crashes that have been unused for some time.
     *
     * @param nowNanos the local monotonic time
     * @param retentionNanos the time without use, in nanoseconds
     * @return true if one was removed
     */
    boolean expire(long nowNanos, long retentionNanos) {
        return mCrashes.values().removeIf(crash -> nowNanos - crash.usedNanos() > retentionNanos);
    }
}
