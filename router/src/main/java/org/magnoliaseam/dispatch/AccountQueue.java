package org.magnoliaseam.dispatch;

import java.util.function.Predicate;

/** Queues the requests of one client account in one class, first in, first out. */
final class AccountQueue {

    /** The requests in the order in which they are started. */
    private final RequestDeque mRequests;

    /** The number of waiting requests. */
    private int mSize;

    /** Whether the account takes part in the rotation of its class. */
    private boolean mInRotation;

    /**
     * Creates an empty queue.
     *
     * @param belongs tells whether a request still belongs to this queue
     */
    AccountQueue(Predicate<WaitingRequest> belongs) {
        mRequests = new RequestDeque(belongs);
    }

    /**
     * Adds a request at the end, or at the front if an earlier try of it was already started.
     *
     * @param request the request
     */
    void add(WaitingRequest request) {
        mSize++;
        if (request.work().started()) {
            mRequests.addFirst(request);
        } else {
            mRequests.addLast(request);
        }
    }

    /** Decreases the size after a request has left the queue. */
    void removed() {
        mSize--;
    }

    /**
     * Returns the next request.
     *
     * @return the first waiting request, or null if there is none
     */
    WaitingRequest first() {
        return mRequests.peekFirst();
    }

    /**
     * Returns the newest request.
     *
     * @return the last waiting request, or null if there is none
     */
    WaitingRequest last() {
        return mRequests.peekLast();
    }

    /**
     * Returns the number of waiting requests.
     *
     * @return the count
     */
    int size() {
        return mSize;
    }

    /**
     * Tells whether the account takes part in the rotation of its class.
     *
     * @return true if it does
     */
    boolean inRotation() {
        return mInRotation;
    }

    /**
     * Records whether the account takes part in the rotation of its class.
     *
     * @param inRotation true if it does
     */
    void inRotation(boolean inRotation) {
        mInRotation = inRotation;
    }
}
