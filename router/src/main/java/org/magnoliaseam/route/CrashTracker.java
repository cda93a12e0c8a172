package org.magnoliaseam.route;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.LongSupplier;
import org.magnoliaseam.exchange.AuthenticatedRequest;
import org.magnoliaseam.fleet.SuspectNotice;
import org.magnoliaseam.model.BackendServerId;
import org.magnoliaseam.model.RequestId;
import org.magnoliaseam.suspect.CrashSuspects;
import org.magnoliaseam.suspect.Fingerprint;
import org.magnoliaseam.suspect.Fingerprinter;
import org.magnoliaseam.suspect.SuspectPlacement;
import org.magnoliaseam.suspect.SuspectVerdict;
import org.magnoliaseam.time.MonotonicClock;

/**
 * Tracks which requests run on which backend server, and which were running when one crashed.
 * Thread-safe.
 */
public final class CrashTracker {

    /** Computes fingerprints. */
    private final Fingerprinter mFingerprinter;

    /** Returns the period for which a crashing request is refused, in milliseconds. */
    private final LongSupplier mTtlMillis;

    /** The clock. */
    private final MonotonicClock mClock;

    /** The requests that were running at crashes. */
    private final CrashSuspects mSuspects = new CrashSuspects();

    /** Keeps suspect requests on separate servers. */
    private final SuspectPlacement mPlacement = new SuspectPlacement();

    /** The requests that run on each server and have not been counted at a crash. */
    private final Map<BackendServerId, Map<RequestId, Fingerprint>> mRunning = new HashMap<>();

    /**
     * Creates a tracker without recorded crashes.
     *
     * @param fingerprinter computes fingerprints
     * @param ttlMillis returns the period for which a crashing request is refused, in milliseconds
     * @param clock the clock
     */
    public CrashTracker(Fingerprinter fingerprinter, LongSupplier ttlMillis, MonotonicClock clock) {
        mFingerprinter = fingerprinter;
        mTtlMillis = ttlMillis;
        mClock = clock;
    }

    /**
     * Decides how to treat a request that may cause crashes.
     *
     * @param request the request
     * @return the decision
     */
    SuspectVerdict verdict(AuthenticatedRequest request) {
        Fingerprint fingerprint = fingerprint(request);
        synchronized (this) {
            return mSuspects.verdict(fingerprint, mTtlMillis.getAsLong(), mClock.nanos());
        }
    }

    /**
     * Returns the servers that a suspect request must avoid: each server runs at most one suspect
     * request, and each suspect request runs on one server at a time.
     *
     * @param request the request
     * @param candidates the servers of its class
     * @return the servers to exclude; empty if the request is not suspect
     */
    Set<BackendServerId> suspectExclusions(
            AuthenticatedRequest request, Set<BackendServerId> candidates) {
        if (verdict(request) != SuspectVerdict.GUARDED) {
            return Set.of();
        }
        Fingerprint fingerprint = fingerprint(request);
        synchronized (this) {
            return mPlacement.excluded(fingerprint, candidates);
        }
    }

    /**
     * Records the start of an attempt.
     *
     * @param server the backend server
     * @param request the request
     */
    void started(BackendServerId server, AuthenticatedRequest request) {
        boolean guarded = verdict(request) == SuspectVerdict.GUARDED;
        Fingerprint fingerprint = fingerprint(request);
        synchronized (this) {
            mRunning.computeIfAbsent(server, id -> new HashMap<>()).put(request.id(), fingerprint);
            if (guarded) {
                mPlacement.started(fingerprint, server);
            }
        }
    }

    /**
     * Records the end of an attempt.
     *
     * @param server the backend server
     * @param request the request
     * @param whole whether the answer was complete, which clears the request of suspicion
     */
    void ended(BackendServerId server, AuthenticatedRequest request, boolean whole) {
        Fingerprint fingerprint = fingerprint(request);
        synchronized (this) {
            mPlacement.ended(fingerprint, server);
            Map<RequestId, Fingerprint> running = mRunning.get(server);
            if (running != null) {
                running.remove(request.id());
            }
            if (whole) {
                mSuspects.completed(fingerprint, mClock.nanos());
            }
        }
    }

    /**
     * Records the crash of a backend server; each request that runs on it is counted once.
     *
     * @param server the backend server
     */
    synchronized void crashed(BackendServerId server) {
        Map<RequestId, Fingerprint> running = mRunning.remove(server);
        if (running != null && !running.isEmpty()) {
            mSuspects.crashed(new HashSet<>(running.values()), mClock.nanos());
        }
    }

    /**
     * Records the suspect notices of a peer.
     *
     * @param notices the notices
     */
    synchronized void recordNotices(List<SuspectNotice> notices) {
        mSuspects.heard(notices, mTtlMillis.getAsLong(), mClock.nanos());
    }

    /**
     * Returns the suspect notices for the peers.
     *
     * @return the notices
     */
    synchronized List<SuspectNotice> notices() {
        return mSuspects.notices(mTtlMillis.getAsLong(), mClock.nanos());
    }

    /**
     * Computes the fingerprint of a request.
     *
     * @param request the request
     * @return the fingerprint
     */
    private Fingerprint fingerprint(AuthenticatedRequest request) {
        return mFingerprinter.of(
                request.account(), request.requestClass().id(), request.path(), request.body());
    }
}
