package org.magnoliaseam.dispatch;

import java.util.ArrayDeque;
import java.util.function.Predicate;

/**
 * Holds waiting requests in order. Requests that no longer belong to the deque are dropped lazily:
 * those at its ends on access, and all others whenever its size has doubled.
 */
final class RequestDeque {

    /** The smallest size at which requests in the middle are dropped. */
    private static final int MIN_COMPACTION_SIZE = 32;

    /** Tells whether a request still belongs to the deque. */
    private final Predicate<WaitingRequest> mBelongs;

    /** The requests, some of which may no longer belong to the deque. */
    private final ArrayDeque<WaitingRequest> mRequests = new ArrayDeque<>();

    /** The size at which requests in the middle are dropped the next time. */
    private int mCompactionSize = MIN_COMPACTION_SIZE;

    /**
     * Creates an empty deque.
     *
     * @param belongs tells whether a request still belongs to the deque; once false, the result
     *     must stay false
     */
    RequestDeque(Predicate<WaitingRequest> belongs) {
        mBelongs = belongs;
    }

    /**
     * Adds a request at the front.
     *
     * @param request the request
     */
    void addFirst(WaitingRequest request) {
        compact();
        mRequests.addFirst(request);
    }

    /**
     * Adds a request at the end.
     *
     * @param request the request
     */
    void addLast(WaitingRequest request) {
        compact();
        mRequests.addLast(request);
    }

    /**
     * Returns the first request without removing it.
     *
     * @return the first request that belongs to the deque, or null if there is none
     */
    WaitingRequest peekFirst() {
        while (!mRequests.isEmpty() && !mBelongs.test(mRequests.peekFirst())) {
            mRequests.pollFirst();
        }
        return mRequests.peekFirst();
    }

    /**
     * Returns the last request without removing it.
     *
     * @return the last request that belongs to the deque, or null if there is none
     */
    WaitingRequest peekLast() {
        while (!mRequests.isEmpty() && !mBelongs.test(mRequests.peekLast())) {
            mRequests.pollLast();
        }
        return mRequests.peekLast();
    }

    /**
     * Removes the first request.
     *
     * @return the first request that belongs to the deque, or null if there is none
     */
    WaitingRequest pollFirst() {
        peekFirst();
        return mRequests.pollFirst();
    }

    /** Drops all requests that no longer belong, if the size has doubled since the last time. */
    private void compact() {
        if (mRequests.size() < mCompactionSize) {
            return;
        }
        mRequests.removeIf(mBelongs.negate());
        mCompactionSize = Math.max(MIN_COMPACTION_SIZE, 2 * mRequests.size());
    }
}
