package org.magnoliaseam.route;

import java.util.Optional;
import org.magnoliaseam.coldstart.ColdStartTracker;
import org.magnoliaseam.fleet.LoadReport;
import org.magnoliaseam.leaving.BackendServiceState;
import org.magnoliaseam.leaving.ServiceState;
import org.magnoliaseam.model.StartId;
import org.magnoliaseam.settings.BackendServer;
import org.magnoliaseam.settings.OutOfService;

/**
 * Holds the state that this process tracks for one backend server. Guarded by the lock of {@link
 * FleetTracker}.
 */
final class TrackedServer {

    /** The start ID of a server without a load report. */
    private static final StartId UNKNOWN_START_ID = new StartId("unnamed");

    /** The weight of a new sample in the exponentially smoothed times. */
    private static final double SMOOTHING = 0.2;

    /** Tracks the transition of the server from cold to warm. */
    private final ColdStartTracker mColdStart;

    /** The settings of the server. */
    private BackendServer mServer;

    /** The last load report; null if none. */
    private LoadReport mReport;

    /** Tracks whether the server gets new work. */
    private final BackendServiceState mService = new BackendServiceState();

    /** The smoothed time to the first token in milliseconds; 0 if unknown. */
    private double mFirstTokenMillis;

    /** The smoothed time between tokens in milliseconds; 0 if unknown. */
    private double mTokenMillis;

    /**
     * Creates the initial state of a server.
     *
     * @param server the settings
     * @param nowNanos the local monotonic time
     */
    TrackedServer(BackendServer server, long nowNanos) {
        mServer = server;
        mColdStart = new ColdStartTracker(server, nowNanos);
    }

    /**
     * Applies new settings.
     *
     * @param server the settings
     */
    void configure(BackendServer server) {
        mServer = server;
        mColdStart.configure(server);
    }

    /**
     * Records a load report.
     *
     * @param report the report
     */
    void report(LoadReport report) {
        mService.answered();
        mService.report(report);
        mReport = report;
        mColdStart.report(report);
    }

    /**
     * Records that the server could not be reached.
     *
     * @param nowNanos the local monotonic time
     */
    void unreachable(long nowNanos) {
        mService.connectionRefused(nowNanos);
        mColdStart.reset(nowNanos);
    }

    /**
     * Adds the times of an attempt to the smoothed times.
     *
     * @param times the times
     */
    void recordTimes(AttemptTimes times) {
        mFirstTokenMillis = smooth(mFirstTokenMillis, times.firstTokenMillis());
        if (times.tokenMillis() > 0) {
            mTokenMillis = smooth(mTokenMillis, times.tokenMillis());
        }
    }

    /**
     * Returns the settings.
     *
     * @return the settings
     */
    BackendServer server() {
        return mServer;
    }

    /**
     * Returns the tracker of the transition from cold to warm.
     *
     * @return the tracker
     */
    ColdStartTracker coldStart() {
        return mColdStart;
    }

    /**
     * Returns the last load report.
     *
     * @return the report, if there is one
     */
    Optional<LoadReport> lastReport() {
        return Optional.ofNullable(mReport);
    }

    /**
     * Decides whether the server gets new work.
     *
     * @param outOfService what operators have taken out of service
     * @param nowNanos the local monotonic time
     * @return the decision
     */
    ServiceState service(OutOfService outOfService, long nowNanos) {
        return mService.decide(mServer, outOfService, nowNanos);
    }

    /**
     * Returns the start ID in the last load report.
     *
     * @return the start ID, or a placeholder if there is no report
     */
    StartId lastStartId() {
        return mReport == null ? UNKNOWN_START_ID : mReport.startId();
    }

    /**
     * Returns the smoothed time to the first token.
     *
     * @return milliseconds; 0 if unknown
     */
    double firstTokenMillis() {
        return mFirstTokenMillis;
    }

    /**
     * Returns the smoothed time between tokens.
     *
     * @return milliseconds; 0 if unknown
     */
    double tokenMillis() {
        return mTokenMillis;
    }

    /**
     * Computes an exponentially smoothed time.
     *
     * @param old the smoothed time; 0 if unknown
     * @param sample the new sample
     * @return the new smoothed time
     */
    private static double smooth(double old, double sample) {
        return old == 0 ? sample : old + SMOOTHING * (sample - old);
    }
}
