package org.magnoliaseam.route;

import java.util.Optional;
import java.util.Set;
import org.magnoliaseam.backend.BackendFailure;
import org.magnoliaseam.exchange.AuthenticatedRequest;
import org.magnoliaseam.fleet.FleetView;
import org.magnoliaseam.fleet.PeerSummary;
import org.magnoliaseam.model.BackendServerId;
import org.magnoliaseam.model.StartId;
import org.magnoliaseam.retry.RetryBudget;
import org.magnoliaseam.settings.BackendServer;
import org.magnoliaseam.suspect.SuspectVerdict;
import org.magnoliaseam.time.MonotonicClock;

/**
 * Decides about attempts based on the local view of the fleet, the retry budget and the recorded
 * crashes. Thread-safe.
 */
public final class FleetAttemptGuard implements AttemptGuard {

    /** The retry budget before a configuration is in force. */
    private static final double NO_RETRIES = 0;

    /** The local view of the fleet. */
    private final FleetTracker mFleet;

    /** Tracks the requests that were running at crashes. */
    private final CrashTracker mCrashes;

    /** The clock. */
    private final MonotonicClock mClock;

    /** The retry budget, guarded by itself. */
    private final RetryBudget mBudget = new RetryBudget();

    /**
     * Creates a guard.
     *
     * @param fleet the local view of the fleet
     * @param crashes tracks the requests that were running at crashes
     * @param clock the clock
     */
    public FleetAttemptGuard(FleetTracker fleet, CrashTracker crashes, MonotonicClock clock) {
        mFleet = fleet;
        mCrashes = crashes;
        mClock = clock;
    }

    @Override
    public Optional<BackendServer> permit(BackendServerId server, AuthenticatedRequest request) {
        if (suspectExclusions(request).contains(server)) {
            return Optional.empty();
        }
        Optional<BackendServer> permitted = mFleet.permit(server);
        if (permitted.isPresent()) {
            mCrashes.started(server, request);
        }
        return permitted;
    }

    @Override
    public boolean confirm(BackendServerId server) {
        return mFleet.confirm(server);
    }

    @Override
    public Optional<FleetView> refresh() {
        return mFleet.tick();
    }

    @Override
    public void recordFirstAttempt() {
        synchronized (mBudget) {
            mBudget.firstTry(retryRatio(), mClock.nanos());
        }
    }

    @Override
    public boolean tryAcquireRetry() {
        synchronized (mBudget) {
            return mBudget.take(retryRatio(), mClock.nanos()).allowed();
        }
    }

    @Override
    public void succeeded(
            BackendServerId server, AuthenticatedRequest request, AttemptTimes times) {
        mCrashes.ended(server, request, true);
        mFleet.change(
                server,
                (tracked, share, now) -> {
                    StartId startId = times.startId().orElseGet(tracked::lastStartId);
                    tracked.recordTimes(times);
                    tracked.coldStart().completed(startId, times.firstTokenMillis(), now);
                });
    }

    @Override
    public void ended(
            BackendServerId server,
            AuthenticatedRequest request,
            BackendFailure failure,
            boolean cancelled) {
        if (failure.mayBeCrash() && !cancelled) {
            mCrashes.crashed(server);
        }
        mCrashes.ended(server, request, false);
        mFleet.change(
                server, (tracked, share, now) -> apply(tracked, share, now, failure, cancelled));
    }

    @Override
    public boolean crashing(AuthenticatedRequest request) {
        return mCrashes.verdict(request) == SuspectVerdict.REFUSED;
    }

    @Override
    public Set<BackendServerId> suspectExclusions(AuthenticatedRequest request) {
        return mCrashes.suspectExclusions(request, request.requestClass().backendServers());
    }

    /**
     * Records the attempts and crashes that a peer reports.
     *
     * @param summary the summary
     */
    public void recordPeerReport(PeerSummary summary) {
        synchronized (mBudget) {
            mBudget.heard(summary, mClock.nanos());
        }
        mCrashes.recordNotices(summary.suspects());
    }

    /**
     * Returns the number of first attempts since the start.
     *
     * @return the count
     */
    public long firstAttempts() {
        synchronized (mBudget) {
            return mBudget.firstTries();
        }
    }

    /**
     * Returns the number of retries since the start.
     *
     * @return the count
     */
    public long retries() {
        synchronized (mBudget) {
            return mBudget.retries();
        }
    }

    /**
     * Updates the tracked state of a server after an attempt that did not succeed.
     *
     * @param tracked the server
     * @param share the share of this entry VM
     * @param now the local monotonic time
     * @param failure the kind of failure
     * @param cancelled whether the router itself cancelled the attempt
     */
    private static void apply(
            TrackedServer tracked, int share, long now, BackendFailure failure, boolean cancelled) {
        switch (failure) {
            case NOT_SENT -> {
                tracked.coldStart().refused(now);
                tracked.unreachable(now);
            }
            case REFUSED, HELD_BACK -> tracked.coldStart().refused(now);
            case CONNECTION_LOST -> {
                tracked.coldStart().failed(share, now);
                tracked.coldStart().reset(now);
            }
            default -> {
                if (cancelled) {
                    tracked.coldStart().cancelled(now);
                } else {
                    tracked.coldStart().failed(share, now);
                }
            }
        }
    }

    /**
     * Returns the allowed ratio of retries to first attempts.
     *
     * @return the ratio
     */
    private double retryRatio() {
        return mFleet.view()
                .map(view -> view.configuration().configuration().tuning().retryBudget())
                .orElse(NO_RETRIES);
    }
}
