package org.magnoliaseam.placement;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;

/**
 * Orders the waiting requests of one priority: those of accounts that send far more than usual come
 * last; then by the turn of the account, then those that can meet their targets before those that
 * can't, then by due time and size. Starts at fixed intervals go to the largest tenth and to the
 * accounts that send far more than usual. Not thread-safe.
 *
 * @param <T> the type of the requests
 */
final class WaitLevel<T> {

    /** The number of starts after which each guaranteed group has had one. */
    private static final int CYCLE = 16;

    /** The starts between two of the largest tenth. */
    private static final int STARTS_PER_LARGE = 8;

    /** The place within the cycle of the start that goes to accounts far above their usual rate. */
    private static final int EXCESSIVE_START = 11;

    /** Precedes all keys of its rank. */
    private static final WaitKey FIRST =
            new WaitKey(0, "", false, "", Long.MIN_VALUE, 0, Long.MIN_VALUE, Long.MIN_VALUE);

    /** The order of the requests. */
    private final Comparator<Entry<T>> mComparator =
            Comparator.comparing((Entry<T> entry) -> entry.mRank == WaitRank.EXCESSIVE)
                    .thenComparingLong(entry -> entry.mTurn)
                    .thenComparing(entry -> entry.mRank)
                    .thenComparingLong(Entry::dueNanos)
                    .thenComparingLong(entry -> entry.mKey.size())
                    .thenComparingLong(entry -> entry.mNumber);

    /** The entries in order. */
    private final TreeSet<Entry<T>> mOrder = new TreeSet<>(mComparator);

    /** The entries of the largest tenth in order. */
    private final TreeSet<Entry<T>> mLarge = new TreeSet<>(mComparator);

    /** The entries that can still meet their targets, the first to fail first. */
    private final TreeSet<Entry<T>> mTimely =
            new TreeSet<>(
                    Comparator.comparingLong((Entry<T> entry) -> entry.mKey.targetStartNanos())
                            .thenComparingLong(entry -> entry.mNumber));

    /** The accounts that have waiting requests. */
    private final Map<String, AccountTurns> mAccounts = new HashMap<>();

    /** The number of waiting requests of accounts far above their usual rate. */
    private int mExcessive;

    /** The highest turn of a request that was removed from the head. */
    private long mTurn;

    /** The requests that were started. */
    private long mStarted;

    /**
     * Holds one waiting request.
     *
     * @param <T> the type of the requests
     */
    static final class Entry<T> {

        /** The request. */
        private final T mItem;

        /** What decides its place. */
        private final WaitKey mKey;

        /** Whether it belongs to the largest tenth of its kind. */
        private final boolean mIsLarge;

        /** The number of the entry in order of arrival. */
        private final long mNumber;

        /** The turn of its account. */
        private long mTurn;

        /** Its rank. */
        private WaitRank mRank;

        /**
         * Creates an entry without a turn.
         *
         * @param item the request
         * @param key what decides its place
         * @param large whether it belongs to the largest tenth of its kind
         * @param number the number of the entry in order of arrival
         */
        Entry(T item, WaitKey key, boolean large, long number) {
            mItem = item;
            mKey = key;
            mIsLarge = large;
            mNumber = number;
        }

        /**
         * Returns the request.
         *
         * @return the request
         */
        T item() {
            return mItem;
        }

        /**
         * Returns its rank.
         *
         * @return the rank within its priority
         */
        WaitRank rank() {
            return mRank;
        }

        /**
         * Returns what decides its place.
         *
         * @return the key
         */
        WaitKey key() {
            return mKey;
        }

        /**
         * Returns the time at which it is due. The predicted time of its service is not deducted:
         * it decides the rank, and here it would put the largest requests first.
         *
         * @return the local monotonic time of the target, or for a late request of the deadline
         */
        private long dueNanos() {
            return mRank == WaitRank.LATE ? mKey.deadlineNanos() : mKey.targetNanos();
        }
    }

    /** Counts the turns of one account. */
    private static final class AccountTurns {

        /** The turn of its next request. */
        private long mNext;

        /** Its waiting requests. */
        private int mWaiting;
    }

    /**
     * Adds a request.
     *
     * @param entry the request
     * @param nowNanos the local monotonic time
     */
    void add(Entry<T> entry, long nowNanos) {
        AccountTurns turns =
                mAccounts.computeIfAbsent(entry.mKey.account(), name -> new AccountTurns());
        turns.mWaiting++;
        entry.mTurn = Math.max(mTurn, turns.mNext);
        turns.mNext = entry.mTurn + 1;
        mExcessive += entry.mKey.excessive() ? 1 : 0;
        insert(entry, entry.mKey.rank(nowNanos));
    }

    /**
     * Inserts a request into the sets.
     *
     * @param entry the request
     * @param rank its rank
     */
    private void insert(Entry<T> entry, WaitRank rank) {
        entry.mRank = rank;
        mOrder.add(entry);
        if (entry.mIsLarge) {
            mLarge.add(entry);
        }
        if (rank == WaitRank.TIMELY) {
            mTimely.add(entry);
        }
    }

    /**
     * Removes a request from the sets.
     *
     * @param entry the request
     */
    private void extract(Entry<T> entry) {
        mOrder.remove(entry);
        mLarge.remove(entry);
        mTimely.remove(entry);
    }

    /**
     * Removes a request.
     *
     * @param entry the request
     * @param started whether it was started
     */
    void remove(Entry<T> entry, boolean started) {
        mStarted += started ? 1 : 0;
        if (mOrder.first() == entry) {
            mTurn = Math.max(mTurn, entry.mTurn);
        }
        extract(entry);
        mExcessive -= entry.mKey.excessive() ? 1 : 0;
        AccountTurns turns = mAccounts.get(entry.mKey.account());
        if (--turns.mWaiting == 0) {
            mAccounts.remove(entry.mKey.account());
        }
    }

    /**
     * Gives their rank to the requests that can no longer meet their targets. Each request is moved
     * once at most.
     *
     * @param nowNanos the local monotonic time
     */
    void advance(long nowNanos) {
        while (!mTimely.isEmpty()) {
            Entry<T> first = mTimely.first();
            WaitRank rank = first.mKey.rank(nowNanos);
            if (rank == WaitRank.TIMELY) {
                return;
            }
            extract(first);
            insert(first, rank);
        }
    }

    /**
     * Returns the number of waiting requests.
     *
     * @return the number
     */
    int size() {
        return mOrder.size();
    }

    /**
     * Returns the waiting request that comes after all others.
     *
     * @return the request, at least one of which has to wait
     */
    Entry<T> last() {
        return mOrder.last();
    }

    /**
     * Returns the number of waiting requests that come before a new one.
     *
     * @param account the account of the new request
     * @param excessive whether its account sends far more than it usually does
     * @return the requests of the turns before its own, at most all
     */
    int ahead(String account, boolean excessive) {
        AccountTurns turns = mAccounts.get(account);
        long own = turns == null ? 0 : turns.mWaiting;
        if (excessive) {
            return mOrder.size();
        }
        return (int) Math.min(mOrder.size() - mExcessive, (own + 1) * mAccounts.size());
    }

    /**
     * Returns the requests to start next.
     *
     * @param limit the largest number of requests, at least 1
     * @return the first requests in order
     */
    List<T> next(int limit) {
        List<T> next = new ArrayList<>(Math.min(limit, mOrder.size()));
        Entry<T> guaranteed = guaranteed();
        if (guaranteed != null) {
            next.add(guaranteed.mItem);
        }
        Iterator<Entry<T>> entries = mOrder.iterator();
        while (entries.hasNext() && next.size() < limit) {
            Entry<T> entry = entries.next();
            if (entry != guaranteed) {
                next.add(entry.mItem);
            }
        }
        return next;
    }

    /**
     * Returns the request that comes first because of a guaranteed share.
     *
     * @return the request; null if the next start follows the order
     */
    private Entry<T> guaranteed() {
        long place = mStarted % CYCLE;
        if (place % STARTS_PER_LARGE == STARTS_PER_LARGE - 1) {
            return mLarge.isEmpty() ? null : mLarge.first();
        }
        return place == EXCESSIVE_START ? firstExcessive() : null;
    }

    /**
     * Returns the first request of the accounts far above their usual rate.
     *
     * @return the request; null if there is none
     */
    private Entry<T> firstExcessive() {
        Entry<T> before = new Entry<>(null, FIRST, false, Long.MIN_VALUE);
        before.mRank = WaitRank.EXCESSIVE;
        before.mTurn = Long.MIN_VALUE;
        return mOrder.higher(before);
    }
}
