package org.magnoliaseam.spillover;

import java.util.List;
import org.magnoliaseam.model.FailureDomain;

/**
 * Decides which share of the requests of a service leaves a failure domain. The share starts after
 * the domain has been above its limit for a time, follows the smallest rate that keeps the domain
 * at its limit, and ends after the domain has been below a lower limit for a longer time. Not
 * thread-safe.
 */
public final class SpillShare {

    /** The time above the limit after which requests leave, in nanoseconds. */
    static final long START_NANOS = 300_000_000L;

    /** The time below the lower limit after which no more requests leave, in nanoseconds. */
    static final long END_NANOS = 2_000_000_000L;

    /** The utilisation below which the domain needs no help; also that of a nearly full domain. */
    static final double LOWER_LIMIT = 0.7;

    /** The utilisation from which the domain avoids to process prompt parts again. */
    static final double NEAR_LIMIT = 0.8;

    /** The smallest change of the share; smaller ones are noise of the measured rates. */
    static final double STEP = 0.05;

    /** The time for which a lower share has to be enough before it is taken, in nanoseconds. */
    static final long DECREASE_NANOS = 1_000_000_000L;

    /** The share below which nothing is sent, since the other domains are full. */
    private static final double SMALLEST_SHARE = 0.01;

    /** The part of the excess that counts as all of it, since rates are rounded. */
    private static final double ALL = 0.99;

    /** The failure domain. */
    private final FailureDomain mHome;

    /** The requests that leave. */
    private SpillPlan mPlan = SpillPlan.STAY;

    /** Whether requests leave as far as other domains have room. */
    private boolean mActive;

    /** The utilisation of the domain at the last update. */
    private double mUtilisation;

    /** The local monotonic time of the last update that did not ask for a change of the state. */
    private long mStateNanos;

    /** The local monotonic time of the last update at which no lower share was enough. */
    private long mShareNanos;

    /** Whether there was an update. */
    private boolean mUpdated;

    /**
     * Creates the decision for a failure domain that keeps all requests.
     *
     * @param home the failure domain
     */
    public SpillShare(FailureDomain home) {
        mHome = home;
    }

    /**
     * Returns the requests that leave.
     *
     * @return the plan
     */
    public SpillPlan plan() {
        return mPlan;
    }

    /**
     * Tells whether further work would bring the domain near its limit.
     *
     * @return true if it is above the lower limit
     */
    public boolean nearLimit() {
        return mUtilisation >= NEAR_LIMIT;
    }

    /**
     * Returns the utilisation that the domain would have if it kept all requests.
     *
     * @return the utilisation at the last update
     */
    public double utilisation() {
        return mUtilisation;
    }

    /**
     * Updates the share; called periodically.
     *
     * @param loads all failure domains that have backend servers or report demand
     * @param nowNanos the local monotonic time
     * @return true if the share has changed
     */
    public boolean update(List<DomainLoad> loads, long nowNanos) {
        DomainLoad home =
                loads.stream()
                        .filter(load -> load.domain().equals(mHome))
                        .findFirst()
                        .orElse(new DomainLoad(mHome, 0, 0, true, List.of()));
        mUtilisation = home.utilisation();
        SpillPlan before = mPlan;
        if (home.servers() == 0) {
            mActive = true;
            mStateNanos = nowNanos;
            mShareNanos = nowNanos;
            List<Crossing> targets = evacuated(loads);
            mPlan = targets.isEmpty() ? SpillPlan.STAY : new SpillPlan(1, targets);
        } else {
            updateState(nowNanos);
            updateShare(home, SpareCapacity.of(mHome, loads), nowNanos);
        }
        mUpdated = true;
        return before.share() != mPlan.share();
    }

    /**
     * Starts or ends to send requests away.
     *
     * @param nowNanos the local monotonic time
     */
    private void updateState(long nowNanos) {
        boolean change =
                mActive ? mUtilisation < LOWER_LIMIT : mUtilisation > DomainLoad.HOME_LIMIT;
        if (!change || !mUpdated) {
            mStateNanos = nowNanos;
        } else if (nowNanos - mStateNanos >= (mActive ? END_NANOS : START_NANOS)) {
            mActive = !mActive;
            mStateNanos = nowNanos;
            mShareNanos = nowNanos;
        }
    }

    /**
     * Follows the work that other domains have room for.
     *
     * @param home the own domain, which has backend servers
     * @param targets the work that each other domain may get
     * @param nowNanos the local monotonic time
     */
    private void updateShare(DomainLoad home, List<Crossing> targets, long nowNanos) {
        double room = targets.stream().mapToDouble(Crossing::servers).sum();
        double share = mActive && home.demand() > 0 ? room / home.demand() : 0;
        double current = mPlan.share();
        boolean full = room < ALL * home.excess();
        boolean higher = share >= current + STEP;
        boolean ends = share < SMALLEST_SHARE && current > 0;
        boolean lower = ends || share <= current - STEP;
        if (!mActive || full && share < SMALLEST_SHARE) {
            mPlan = SpillPlan.STAY;
        } else if (higher || lower && (full || nowNanos - mShareNanos >= DECREASE_NANOS)) {
            mPlan = new SpillPlan(share, targets);
        } else if (!targets.isEmpty()) {
            mPlan = new SpillPlan(current, targets);
        }
        if (!lower) {
            mShareNanos = nowNanos;
        }
    }

    /**
     * Returns where the work goes if the own domain has no backend server.
     *
     * @param loads all failure domains
     * @return the spare capacity of the others; if there is none, their whole capacity
     */
    private List<Crossing> evacuated(List<DomainLoad> loads) {
        List<Crossing> spare = SpareCapacity.of(mHome, loads);
        if (!spare.isEmpty()) {
            return spare;
        }
        return loads.stream()
                .filter(load -> load.servers() > 0)
                .map(load -> new Crossing(load.domain(), load.servers()))
                .toList();
    }
}
