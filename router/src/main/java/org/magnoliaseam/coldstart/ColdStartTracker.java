package org.magnoliaseam.coldstart;

import java.util.LinkedHashSet;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.magnoliaseam.fleet.LoadReport;
import org.magnoliaseam.fleet.WarmServer;
import org.magnoliaseam.model.StartId;
import org.magnoliaseam.settings.BackendServer;

/**
 * Tracks whether one backend server is cold or warm and decides how many requests this entry VM may
 * have running on it. A server is cold until its current run has proved warm; a run lasts from one
 * start of the server to the next. Not thread-safe.
 */
public final class ColdStartTracker {

    /** The maximum age of a load report of a cold server, in milliseconds. */
    public static final long REPORT_MAX_AGE_MILLIS = 2000;

    /**
     * The time after a server was found slow during which claims of peers that it is warm are
     * ignored, in milliseconds.
     */
    public static final long SLOW_HOLD_MILLIS = 10_000;

    /** The maximum number of finished runs of the server that are remembered. */
    private static final int MAX_FINISHED_RUNS = 8;

    /** The maximum age of a load report of a cold server, in nanoseconds. */
    private static final long REPORT_MAX_AGE_NANOS =
            TimeUnit.MILLISECONDS.toNanos(REPORT_MAX_AGE_MILLIS);

    /**
     * The time after a reset during which reports may still describe the run before it, in
     * nanoseconds.
     */
    private static final long RESET_HOLD_NANOS =
            TimeUnit.MILLISECONDS.toNanos(PeerLoadBound.REPORT_LAG_MILLIS);

    /** The time during which claims of peers are ignored, in nanoseconds. */
    private static final long SLOW_HOLD_NANOS = TimeUnit.MILLISECONDS.toNanos(SLOW_HOLD_MILLIS);

    /** Bounds the requests of other entry VMs on the server. */
    private final PeerLoadBound mPeerLoad;

    /** The history of the time to the first token. */
    private final FirstTokenHistory mHistory = new FirstTokenHistory();

    /** The limit for all entry VMs in cold start. */
    private final ColdLimit mColdLimit = new ColdLimit();

    /** The slots of this entry VM after the cold start. */
    private final WarmRamp mRamp = new WarmRamp();

    /** The finished runs of the server, oldest first. */
    private final Set<StartId> mFinishedRuns = new LinkedHashSet<>();

    /** The settings of the server. */
    private BackendServer mServer;

    /** The current run; null before the first report or completion. */
    private StartId mStartId;

    /** Whether the current run has proved warm. */
    private boolean mWarm;

    /** The number of own requests running. */
    private int mOwnRequests;

    /** The last accepted report; null if there is none. */
    private LoadReport mReport;

    /** The local monotonic time before which reports are ignored. */
    private long mReportsFromNanos;

    /** The local monotonic time before which claims of peers are ignored. */
    private long mPeerClaimsFromNanos;

    /** The local monotonic time since which this VM has had the right to send; 0 if it has not. */
    private long mRightSinceNanos;

    /**
     * Creates a tracker for a server in an unknown state.
     *
     * @param server the settings of the server
     * @param nowNanos the local monotonic time
     */
    public ColdStartTracker(BackendServer server, long nowNanos) {
        mServer = server;
        mPeerLoad = new PeerLoadBound(nowNanos);
        mReportsFromNanos = nowNanos;
        mPeerClaimsFromNanos = nowNanos;
    }

    /**
     * Applies new settings of the server.
     *
     * @param server the settings
     */
    public void configure(BackendServer server) {
        mServer = server;
    }

    /**
     * Records that an own request is about to be sent. Each one ends with exactly one call of
     * {@link #completed}, {@link #failed}, {@link #cancelled} or {@link #refused}.
     *
     * @param nowNanos the local monotonic time
     */
    public void started(long nowNanos) {
        mOwnRequests++;
        mPeerLoad.ownRequestsChanged(mOwnRequests, nowNanos);
    }

    /**
     * Records that an own request has completed.
     *
     * @param startId the run that answered
     * @param firstTokenMillis the time to the first token in milliseconds; for a plain service, the
     *     time to the status and header of the answer
     * @param nowNanos the local monotonic time
     */
    public void completed(StartId startId, double firstTokenMillis, long nowNanos) {
        requestEnded(nowNanos);
        if (!acceptRun(startId, nowNanos)) {
            return;
        }
        if (mWarm) {
            mRamp.completed();
            mHistory.add(firstTokenMillis);
            if (mHistory.isSlow()) {
                becomeCold();
                mPeerClaimsFromNanos = nowNanos + SLOW_HOLD_NANOS;
            }
        } else if (mHistory.isSlow(firstTokenMillis)) {
            mColdLimit.reset();
        } else if (mColdLimit.completed(mServer.coldLimit())) {
            becomeWarm(mServer.coldLimit());
        }
    }

    /**
     * Records that an own request has failed.
     *
     * @param share the share of this entry VM in the warm limit
     * @param nowNanos the local monotonic time
     */
    public void failed(int share, long nowNanos) {
        requestEnded(nowNanos);
        mPeerLoad.abandoned(nowNanos);
        mColdLimit.reset();
        if (mWarm) {
            mRamp.failed(share);
        }
    }

    /**
     * Records that an own request was cancelled. The server may run it a little longer.
     *
     * @param nowNanos the local monotonic time
     */
    public void cancelled(long nowNanos) {
        requestEnded(nowNanos);
        mPeerLoad.abandoned(nowNanos);
    }

    /**
     * Records that the server refused an own request before starting it, or that no part of the
     * request was sent.
     *
     * @param nowNanos the local monotonic time
     */
    public void refused(long nowNanos) {
        requestEnded(nowNanos);
        mColdLimit.reset();
    }

    /**
     * Records that a connection to the server was reset or refused. The server counts as cold until
     * it proves warm again. Claims of peers are accepted again once a later report shows that the
     * same run continues.
     *
     * @param nowNanos the local monotonic time
     */
    public void reset(long nowNanos) {
        becomeCold();
        mReport = null;
        mReportsFromNanos = nowNanos + RESET_HOLD_NANOS;
        mPeerLoad.restart(mReportsFromNanos);
        mRightSinceNanos = 0;
    }

    /**
     * Records a load report; ignores one from a finished run.
     *
     * @param report the report
     */
    public void report(LoadReport report) {
        if (report.confirmedNanos() - mReportsFromNanos < 0
                || !acceptRun(report.startId(), report.confirmedNanos())) {
            return;
        }
        mReport = report;
        mPeerLoad.report(report);
    }

    /**
     * Records the claim of a peer that a run has proved warm. The claim is accepted only with a
     * recent load report of the same run.
     *
     * @param warm the claim
     * @param nowNanos the local monotonic time
     */
    public void peerSaysWarm(WarmServer warm, long nowNanos) {
        boolean accepted =
                nowNanos - mPeerClaimsFromNanos >= 0
                        && hasFreshReport(nowNanos)
                        && warm.startId().equals(mStartId);
        if (accepted && !mWarm) {
            becomeWarm(1);
        }
    }

    /**
     * Decides how many requests this entry VM may have running on the server now.
     *
     * @param right whether this VM may send to the server in cold start
     * @param share the share of this VM in the warm limit
     * @param nowNanos the local monotonic time
     * @return the decision
     */
    public SlotDecision decide(ColdSendRight right, int share, long nowNanos) {
        if (mWarm) {
            return new SlotDecision(mRamp.slots(share), false, "share of the warm limit");
        }
        long rightSince = right.held() ? right.sinceNanos() : 0;
        if (rightSince != mRightSinceNanos) {
            mRightSinceNanos = rightSince;
            mPeerLoad.restart(right.held() ? rightSince : nowNanos);
            mColdLimit.reset();
        }
        if (!right.held()) {
            return new SlotDecision(0, true, right.reason());
        }
        if (!hasFreshReport(nowNanos)) {
            return new SlotDecision(0, true, "no recent load report of the cold server");
        }
        int slots =
                Math.min(
                        mColdLimit.limit(mServer.coldLimit()),
                        mPeerLoad.availableSlots(mServer.coldLimit()));
        return new SlotDecision(slots, true, right.reason());
    }

    /**
     * Decides whether one more request may be sent; called right before it is sent and counted.
     *
     * @param right whether this VM may send to the server in cold start
     * @param share the share of this VM in the warm limit
     * @param nowNanos the local monotonic time
     * @return true if it may
     */
    public boolean maySend(ColdSendRight right, int share, long nowNanos) {
        return mOwnRequests < decide(right, share, nowNanos).slots();
    }

    /**
     * Returns the claim to send to the peers. It is withheld while this VM has more requests
     * running than its share, so that the peers do not add load on top.
     *
     * @param share the share of this VM in the warm limit
     * @return the claim, or empty if the server is cold or the claim is withheld
     */
    public Optional<WarmServer> claim(int share) {
        return mWarm && mOwnRequests <= share
                ? Optional.of(new WarmServer(mServer.id(), mStartId))
                : Optional.empty();
    }

    /**
     * Records the end of an own request.
     *
     * @param nowNanos the local monotonic time
     */
    private void requestEnded(long nowNanos) {
        mOwnRequests = Math.max(0, mOwnRequests - 1);
        mPeerLoad.ownRequestsChanged(mOwnRequests, nowNanos);
    }

    /**
     * Compares a run with the current one. Begins a cold start if the run is new.
     *
     * @param startId the run that a report or completion names
     * @param nowNanos the local monotonic time of the report or completion
     * @return true if the run is now the current one, false if it has finished
     */
    private boolean acceptRun(StartId startId, long nowNanos) {
        if (startId.equals(mStartId)) {
            return true;
        }
        if (mFinishedRuns.contains(startId)) {
            return false;
        }
        if (mStartId != null) {
            rememberFinishedRun(mStartId);
        }
        mStartId = startId;
        becomeCold();
        mReport = null;
        mPeerLoad.restart(nowNanos);
        return true;
    }

    /**
     * Remembers a finished run, so that late answers and reports from it are ignored.
     *
     * @param finished the run
     */
    private void rememberFinishedRun(StartId finished) {
        if (mFinishedRuns.size() >= MAX_FINISHED_RUNS) {
            mFinishedRuns.remove(mFinishedRuns.iterator().next());
        }
        mFinishedRuns.add(finished);
    }

    /** Begins a cold start. */
    private void becomeCold() {
        mWarm = false;
        mColdLimit.reset();
        mHistory.resetRecent();
    }

    /**
     * Ends the cold start.
     *
     * @param slots the number of slots to start with
     */
    private void becomeWarm(int slots) {
        mWarm = true;
        mRamp.start(slots);
    }

    /**
     * Returns whether the last report is recent.
     *
     * @param nowNanos the local monotonic time
     * @return true if it is
     */
    private boolean hasFreshReport(long nowNanos) {
        return mReport != null && nowNanos - mReport.confirmedNanos() <= REPORT_MAX_AGE_NANOS;
    }
}
