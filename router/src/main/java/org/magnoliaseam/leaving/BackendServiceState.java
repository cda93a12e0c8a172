package org.magnoliaseam.leaving;

import java.util.concurrent.TimeUnit;
import org.magnoliaseam.fleet.LoadReport;
import org.magnoliaseam.model.StartId;
import org.magnoliaseam.settings.BackendServer;
import org.magnoliaseam.settings.OutOfService;

/**
 * Tracks whether one backend server gets new work. A single reason to stop it is enough. Not
 * thread-safe.
 */
public final class BackendServiceState {

    /**
     * The time for which a report of shutdown takes precedence over later ones of the same run, in
     * milliseconds.
     */
    public static final long LEAVING_HOLD_MILLIS = 5000;

    /** The wait after the first refused connection in a row, in milliseconds. */
    public static final long REFUSED_HOLD_MILLIS = 500;

    /** The maximum wait after refused connections, in milliseconds. */
    public static final long MAX_REFUSED_HOLD_MILLIS = 8000;

    /**
     * The time for which a report of shutdown takes precedence over later ones of the same run, in
     * nanoseconds.
     */
    private static final long LEAVING_HOLD_NANOS =
            TimeUnit.MILLISECONDS.toNanos(LEAVING_HOLD_MILLIS);

    /** The run of the server that reported its shutdown; null if there is none. */
    private StartId mLeavingRun;

    /** The local monotonic time of the last report of shutdown. */
    private long mLeavingNanos;

    /**
     * The current wait after a refused connection in milliseconds; 0 if none was refused since the
     * last answer.
     */
    private long mRefusedHoldMillis;

    /** The local monotonic time of the last refused connection. */
    private long mRefusedNanos;

    /**
     * Records a load report. A report of another run cancels the shutdown that the previous run
     * reported. A report of the same run cancels it only if that run has not reported a shutdown
     * for {@link #LEAVING_HOLD_MILLIS}, because reports may arrive out of order.
     *
     * @param report the report
     */
    public void report(LoadReport report) {
        if (report.leaving()) {
            mLeavingRun = report.startId();
            mLeavingNanos = report.confirmedNanos();
        } else if (mLeavingRun != null) {
            boolean withinHold = report.confirmedNanos() - mLeavingNanos <= LEAVING_HOLD_NANOS;
            if (!withinHold || !report.startId().equals(mLeavingRun)) {
                mLeavingRun = null;
            }
        }
    }

    /**
     * Records that a connection was refused. Each further refusal in a row doubles the wait.
     *
     * @param nowNanos the local monotonic time
     */
    public void connectionRefused(long nowNanos) {
        mRefusedHoldMillis =
                mRefusedHoldMillis == 0
                        ? REFUSED_HOLD_MILLIS
                        : Math.min(MAX_REFUSED_HOLD_MILLIS, mRefusedHoldMillis * 2);
        mRefusedNanos = nowNanos;
    }

    /** Records that the server answered a request or a request for a load report. */
    public void answered() {
        mRefusedHoldMillis = 0;
    }

    /**
     * Decides whether the server gets new work.
     *
     * @param server the settings of the server
     * @param outOfService what operators took out of service
     * @param nowNanos the local monotonic time
     * @return the decision
     */
    public ServiceState decide(BackendServer server, OutOfService outOfService, long nowNanos) {
        if (outOfService.backendServers().contains(server.id())) {
            return ServiceState.stopped("operators took the server out of service");
        }
        if (outOfService.failureDomains().contains(server.failureDomain())) {
            return ServiceState.stopped("operators took its failure domain out of service");
        }
        if (mLeavingRun != null) {
            return ServiceState.stopped("the server reports that it leaves");
        }
        long holdNanos = TimeUnit.MILLISECONDS.toNanos(mRefusedHoldMillis);
        if (mRefusedHoldMillis > 0 && nowNanos - mRefusedNanos < holdNanos) {
            return ServiceState.stopped("the server refused a connection");
        }
        return ServiceState.IN_SERVICE;
    }
}
