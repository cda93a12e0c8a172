package org.magnoliaseam.placement;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Learns the usual rate of each client account and tells which of them send far more than that
 * while the others do not. The requests of all services and kinds count. Answers one account at
 * many times its usual rate; a burst of all accounts makes none of them stand out. Not thread-safe.
 */
public final class AccountRates {

    /** The time constant of the recent rate, in nanoseconds. */
    private static final double RECENT_NANOS = 2e9;

    /** The time constant of the usual rate, in nanoseconds. */
    private static final double USUAL_NANOS = 60e9;

    /**
     * The time since its first request after which the usual rate of an account is known, in
     * nanoseconds.
     */
    private static final long LEARNING_NANOS = 10_000_000_000L;

    /** The recent rate of an account that stands out, as a multiple of its usual rate. */
    private static final double EXCESS_RATIO = 3;

    /**
     * The recent requests by which an account that stands out exceeds that multiple at least, so
     * that chance alone makes no account of few requests stand out.
     */
    private static final double EXCESS_REQUESTS = 4;

    /**
     * The largest rate that is learned, as a multiple of the usual rate, so that a burst does not
     * become usual before it ends. A lasting rise by a factor of 7.5 is accepted within two
     * minutes.
     */
    private static final double LEARNED_RATIO = 1.5;

    /** The largest number of accounts; one beyond them replaces the one unused for longest. */
    private static final int MAX_ACCOUNTS = 256;

    /** The accounts, the one used last at the end. */
    private final Map<String, Rate> mAccounts = new LinkedHashMap<>(16, 0.75f, true);

    /** The rate of all accounts. */
    private final Rate mAll = new Rate();

    /** Holds the recent and the usual rate of one account, or of all. */
    private static final class Rate {

        /** The recent requests. */
        private final DecayingCounter mRecent = new DecayingCounter(RECENT_NANOS);

        /** The requests that make up the usual rate. */
        private final DecayingCounter mUsual = new DecayingCounter(USUAL_NANOS);

        /** The local monotonic time of the first request. */
        private long mFirstNanos;

        /** Whether there was a request. */
        private boolean mUsed;

        /**
         * Counts a request.
         *
         * @param nowNanos the local monotonic time
         * @param weight the part of it that is learned
         */
        private void arrived(long nowNanos, double weight) {
            if (!mUsed) {
                mUsed = true;
                mFirstNanos = nowNanos;
            }
            mRecent.add(1, nowNanos);
            mUsual.add(weight, nowNanos);
        }

        /**
         * Tells whether the usual rate is known.
         *
         * @param nowNanos the local monotonic time
         * @return true if the account has been used for long enough
         */
        private boolean known(long nowNanos) {
            return mUsed && nowNanos - mFirstNanos >= LEARNING_NANOS;
        }

        /**
         * Returns the usual requests in the time of the recent rate. The sum is corrected for the
         * time before the first request.
         *
         * @param nowNanos the local monotonic time
         * @return the number of requests
         */
        private double usual(long nowNanos) {
            double age = Math.max(1, nowNanos - mFirstNanos);
            double seen = USUAL_NANOS * (1 - Math.exp(-age / USUAL_NANOS));
            return mUsual.at(nowNanos) * RECENT_NANOS / seen;
        }
    }

    /**
     * Counts a request.
     *
     * @param account the account; empty if the request has none
     * @param nowNanos the local monotonic time
     */
    public void arrived(String account, long nowNanos) {
        Rate rate = mAccounts.computeIfAbsent(account, name -> new Rate());
        double weight = 1;
        if (rate.known(nowNanos)) {
            double recent = rate.mRecent.at(nowNanos);
            double learned = LEARNED_RATIO * rate.usual(nowNanos);
            weight = recent > learned ? learned / recent : 1;
        }
        rate.arrived(nowNanos, weight);
        mAll.arrived(nowNanos, weight);
        if (mAccounts.size() > MAX_ACCOUNTS) {
            mAccounts.remove(mAccounts.keySet().iterator().next());
        }
    }

    /**
     * Tells whether an account sends far more than it usually does while the others do not.
     *
     * @param account the account
     * @param nowNanos the local monotonic time
     * @return true if its recent requests exceed a multiple of its usual ones, which grows with the
     *     rate of the other accounts
     */
    public boolean standsOut(String account, long nowNanos) {
        Rate rate = mAccounts.get(account);
        if (rate == null || account.isEmpty() || !rate.known(nowNanos)) {
            return false;
        }
        double usual = rate.usual(nowNanos);
        double recent = rate.mRecent.at(nowNanos);
        double othersUsual = mAll.usual(nowNanos) - usual;
        double othersRecent = mAll.mRecent.at(nowNanos) - recent;
        if (othersUsual <= 0) {
            return false;
        }
        double others = Math.max(1, othersRecent / othersUsual);
        return recent > EXCESS_RATIO * others * usual + EXCESS_REQUESTS;
    }
}
