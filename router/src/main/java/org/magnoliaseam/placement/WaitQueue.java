package org.magnoliaseam.placement;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/**
 * Orders the requests that wait for a backend server of one service.
 *
 * <p>Requests of a higher priority come first. Within a priority the accounts that send far more
 * than they usually do come last. Among the others the client accounts take turns, so that a burst
 * of one account does not delay the others, and within a turn those requests come first that can
 * still meet their targets. A small share of the starts goes to the lowest priority that waits, and
 * within a priority to the largest tenth of each kind and to the accounts that come last, so that a
 * long burst of other requests starves nobody. Not thread-safe.
 *
 * @param <T> the type of the requests; compared by {@code equals}
 */
public final class WaitQueue<T> {

    /** One start out of this many goes to the lowest priority that waits. */
    private static final int STARTS_PER_GUARANTEED = 8;

    /** The requests in order of their priority. */
    private final TreeMap<Integer, WaitLevel<T>> mLevels = new TreeMap<>();

    /** The entries by request. */
    private final Map<T, WaitLevel.Entry<T>> mEntries = new HashMap<>();

    /** Compares the sizes of the requests. */
    private final UpperTenth mSizes = new UpperTenth();

    /** The requests that were added so far, which number the entries. */
    private long mAdded;

    /** The requests that were started from this queue. */
    private long mStarted;

    /**
     * Adds a request.
     *
     * @param item the request
     * @param key what decides its place
     * @param nowNanos the local monotonic time
     */
    public void add(T item, WaitKey key, long nowNanos) {
        boolean large = mSizes.exceeds(key.kind(), key.size());
        WaitLevel.Entry<T> entry = new WaitLevel.Entry<>(item, key, large, mAdded++);
        mLevels.computeIfAbsent(key.priority(), priority -> new WaitLevel<>()).add(entry, nowNanos);
        mEntries.put(item, entry);
    }

    /**
     * Removes a request that has started.
     *
     * @param item the request
     */
    public void started(T item) {
        if (remove(item, true)) {
            mStarted++;
        }
    }

    /**
     * Removes a request.
     *
     * @param item the request
     * @return true if it was waiting
     */
    public boolean remove(T item) {
        return remove(item, false);
    }

    /**
     * Implements {@link #remove(Object)}.
     *
     * @param item the request
     * @param started whether it was started
     * @return true if it was waiting
     */
    private boolean remove(T item, boolean started) {
        WaitLevel.Entry<T> entry = mEntries.remove(item);
        if (entry == null) {
            return false;
        }
        WaitLevel<T> level = mLevels.get(entry.key().priority());
        level.remove(entry, started);
        if (level.size() == 0) {
            mLevels.remove(entry.key().priority());
        }
        return true;
    }

    /**
     * Returns the number of waiting requests.
     *
     * @return the number
     */
    public int size() {
        return mEntries.size();
    }

    /**
     * Tells whether requests of the same or a higher priority wait.
     *
     * @param priority the priority
     * @return true if a new request may not start before them
     */
    public boolean isBefore(int priority) {
        return !mLevels.isEmpty() && mLevels.firstKey() <= priority;
    }

    /**
     * Estimates the number of waiting requests that come before a new one.
     *
     * @param priority the priority of the new request
     * @param account its account
     * @param excessive whether the account sends far more than it usually does
     * @return the requests of higher priorities, and those of its own priority whose turn comes
     *     before that of its account
     */
    public int ahead(int priority, String account, boolean excessive) {
        int ahead = 0;
        for (Map.Entry<Integer, WaitLevel<T>> level : mLevels.headMap(priority, true).entrySet()) {
            boolean same = level.getKey() == priority;
            WaitLevel<T> waiting = level.getValue();
            ahead += same ? waiting.ahead(account, excessive) : waiting.size();
        }
        return ahead;
    }

    /**
     * Tells how many requests come before a waiting request after which none of its priority comes.
     *
     * @param item the request
     * @param nowNanos the local monotonic time
     * @return the requests of higher priorities and all others of its own; -1 if the request does
     *     not wait or is not the last of its priority
     */
    public int aheadOfLast(T item, long nowNanos) {
        WaitLevel.Entry<T> entry = mEntries.get(item);
        if (entry == null) {
            return -1;
        }
        int priority = entry.key().priority();
        WaitLevel<T> own = mLevels.get(priority);
        own.advance(nowNanos);
        if (own.last() != entry) {
            return -1;
        }
        int ahead = own.size() - 1;
        for (WaitLevel<T> level : mLevels.headMap(priority, false).values()) {
            ahead += level.size();
        }
        return ahead;
    }

    /**
     * Returns the rank of a request.
     *
     * @param item the request
     * @param nowNanos the local monotonic time
     * @return the rank within its priority; empty if it does not wait
     */
    public Optional<WaitRank> rank(T item, long nowNanos) {
        WaitLevel.Entry<T> entry = mEntries.get(item);
        if (entry == null) {
            return Optional.empty();
        }
        mLevels.get(entry.key().priority()).advance(nowNanos);
        return Optional.of(entry.rank());
    }

    /**
     * Returns the requests to start next.
     *
     * @param limit the largest number of requests
     * @param nowNanos the local monotonic time
     * @return the first requests in order
     */
    public List<T> next(int limit, long nowNanos) {
        List<T> next = new ArrayList<>(Math.min(limit, size()));
        boolean due = mStarted % STARTS_PER_GUARANTEED == STARTS_PER_GUARANTEED - 1;
        WaitLevel<T> lowest = mLevels.isEmpty() ? null : mLevels.lastEntry().getValue();
        T guaranteed = null;
        if (due && mLevels.size() > 1 && limit > 0) {
            lowest.advance(nowNanos);
            guaranteed = lowest.next(1).get(0);
            next.add(guaranteed);
        }
        for (WaitLevel<T> level : mLevels.values()) {
            if (next.size() >= limit) {
                break;
            }
            level.advance(nowNanos);
            // One more than needed, since the guaranteed request may be among them.
            for (T item : level.next(limit - next.size() + 1)) {
                if (next.size() < limit && item != guaranteed) {
                    next.add(item);
                }
            }
        }
        return next;
    }

    /**
     * Returns an iteration over the requests to start next. It remains valid while requests are
     * added and removed.
     *
     * @return the iteration, before its first request
     */
    public Cursor<T> cursor() {
        return new Cursor<>(this);
    }

    /**
     * Iterates over the requests in the order of their starts. A step costs as much as the requests
     * that were passed over, whatever the number of those that wait. Not thread-safe.
     *
     * @param <T> the type of the requests
     */
    public static final class Cursor<T> {

        /** The queue. */
        private final WaitQueue<T> mQueue;

        /** The requests that were returned and still wait. */
        private final List<T> mPassedOver = new ArrayList<>();

        /**
         * Creates an iteration.
         *
         * @param queue the queue
         */
        private Cursor(WaitQueue<T> queue) {
            mQueue = queue;
        }

        /**
         * Moves to the next request.
         *
         * @param nowNanos the local monotonic time
         * @return the request; null at the end
         */
        public T next(long nowNanos) {
            mPassedOver.removeIf(item -> !mQueue.mEntries.containsKey(item));
            for (T item : mQueue.next(mPassedOver.size() + 1, nowNanos)) {
                if (!mPassedOver.contains(item)) {
                    mPassedOver.add(item);
                    return item;
                }
            }
            return null;
        }
    }
}
