package org.magnoliaseam.suspect;

import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;
import java.util.function.Predicate;
import java.util.stream.Collectors;

/** Holds the requests that were unanswered when a backend server crashed. Not thread-safe. */
final class Crash {

    /** The largest number of requests to keep: those that an engine may run at once, and a few. */
    private static final int MAX_REQUESTS = 128;

    /** The hash of the start of the backend server. */
    private final long mServer;

    /** The hash of the failure domain of the backend server. */
    private final long mDomain;

    /** The local monotonic time of the crash. */
    private final long mNanos;

    /** The local monotonic time at which the crash last had a request refused. */
    private long mUsedNanos;

    /** The local monotonic time at which such a request was last tried. */
    private long mTriedNanos;

    /** The local monotonic time at which each request was sent, by the marks of the request. */
    private final Map<Set<RequestMark>, Long> mRequests = new LinkedHashMap<>();

    /**
     * Creates a crash without requests.
     *
     * @param server the hash of the start of the backend server
     * @param domain the hash of the failure domain of the backend server
     * @param nanos the local monotonic time of the crash
     */
    Crash(long server, long domain, long nanos) {
        mServer = server;
        mDomain = domain;
        mNanos = nanos;
        mUsedNanos = nanos;
        mTriedNanos = nanos;
    }

    /**
     * Adds an unanswered request.
     *
     * @param marks its marks
     * @param sentNanos the local monotonic time at which it was sent
     * @return false if it is known already or there are too many
     */
    boolean add(Set<RequestMark> marks, long sentNanos) {
        if (mRequests.size() >= MAX_REQUESTS) {
            return false;
        }
        return mRequests.putIfAbsent(marks, sentNanos) == null;
    }

    /**
     * Removes a mark from all requests, because it has not caused the crash.
     *
     * @param mark the mark
     * @return true if a request had it
     */
    boolean remove(RequestMark mark) {
        if (mRequests.keySet().stream().noneMatch(marks -> marks.contains(mark))) {
            return false;
        }
        Map<Set<RequestMark>, Long> kept = new HashMap<>();
        mRequests.forEach(
                (marks, sent) -> {
                    Set<RequestMark> rest =
                            marks.stream()
                                    .filter(other -> !other.equals(mark))
                                    .collect(Collectors.toUnmodifiableSet());
                    if (!rest.isEmpty()) {
                        kept.merge(rest, sent, Math::max);
                    }
                });
        mRequests.clear();
        mRequests.putAll(kept);
        return true;
    }

    /**
     * Returns the marks of the requests.
     *
     * @return a set for each request
     */
    Set<Set<RequestMark>> requests() {
        return Set.copyOf(mRequests.keySet());
    }

    /**
     * Returns the time at which a request was sent.
     *
     * @param marks the marks of the request
     * @return the local monotonic time; null if there is no such request
     */
    Long sentNanos(Set<RequestMark> marks) {
        return mRequests.get(marks);
    }

    /**
     * Returns the hash of the start of the backend server.
     *
     * @return the hash
     */
    long server() {
        return mServer;
    }

    /**
     * Returns the hash of the failure domain of the backend server.
     *
     * @return the hash
     */
    long domain() {
        return mDomain;
    }

    /**
     * Returns the time of the crash.
     *
     * @return the local monotonic time
     */
    long nanos() {
        return mNanos;
    }

    /**
     * Returns the time at which the crash last had a request refused.
     *
     * @return the local monotonic time; that of the crash if it has not
     */
    long usedNanos() {
        return mUsedNanos;
    }

    /**
     * Records that the crash had a request refused.
     *
     * @param nanos the local monotonic time
     */
    void used(long nanos) {
        mUsedNanos = nanos - mUsedNanos > 0 ? nanos : mUsedNanos;
    }

    /**
     * Returns the time at which a request that the crash had refused was last tried.
     *
     * @return the local monotonic time; that of the crash if none was
     */
    long triedNanos() {
        return mTriedNanos;
    }

    /**
     * Records that a request which the crash had refused is tried.
     *
     * @param nanos the local monotonic time
     */
    void tried(long nanos) {
        mTriedNanos = nanos - mTriedNanos > 0 ? nanos : mTriedNanos;
    }

    /**
     * Returns the latest of some times of crashes.
     *
     * @param crashes the crashes
     * @param time returns the local monotonic time of a crash
     * @return the latest time; empty if there is no crash
     */
    static Optional<Long> latest(Collection<Crash> crashes, Function<Crash, Long> time) {
        return crashes.stream().map(time).max((a, b) -> Long.signum(a - b));
    }

    /**
     * Returns the notice of an unanswered request.
     *
     * @param marks the marks of the request
     * @param lasted tells whether an answer to a request with a mark has gone on for some time
     * @param nowNanos the local monotonic time
     * @return the notice
     */
    CrashNotice notice(Set<RequestMark> marks, Predicate<RequestMark> lasted, long nowNanos) {
        return new CrashNotice(
                mServer,
                mDomain,
                Ages.millis(mNanos, nowNanos),
                Ages.millis(mRequests.get(marks), nowNanos),
                Ages.millis(mUsedNanos, nowNanos),
                Ages.millis(mTriedNanos, nowNanos),
                marks,
                marks.stream().filter(lasted).collect(Collectors.toUnmodifiableSet()));
    }
}
