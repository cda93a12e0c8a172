package org.magnoliaseam.dispatch;

import java.util.Set;
import org.magnoliaseam.model.BackendServerId;
import org.magnoliaseam.model.Tier;
import org.magnoliaseam.settings.RequestClass;

/**
 * Queues the requests of one class that may run on the same servers, round robin over the client
 * accounts. Requests that can still meet their target go before those that can't.
 */
final class ClassQueue {

    /** The servers that may run the requests, before exclusions. */
    private final CandidateSet mCandidates;

    /** The servers that the requests must not be sent to. */
    private final Set<BackendServerId> mExcluded;

    /** The requests that can still meet their target. */
    private final AccountRotation mOnTime = new AccountRotation(WaitingRequest::onTime);

    /** The requests that miss their target even if they are started now. */
    private final AccountRotation mMissed = new AccountRotation(WaitingRequest::missed);

    /** The requests that may be handed over to a peer, in the order in which they were added. */
    private final RequestDeque mTransferable = new RequestDeque(WaitingRequest::waiting);

    /** The requests that may be handed over to a peer with free slots. */
    private final RequestDeque mEarlyHandOvers = new RequestDeque(WaitingRequest::onTime);

    /** The requests that may also be handed over to a peer that runs lower tiers. */
    private final RequestDeque mLateHandOvers = new RequestDeque(WaitingRequest::waiting);

    /** The requests that are about to miss their target and have no victim to preempt yet. */
    private final RequestDeque mAtRisk = new RequestDeque(WaitingRequest::waiting);

    /** The number of waiting requests. */
    private int mSize;

    /**
     * Creates an empty queue.
     *
     * @param candidates the servers that may run the requests, before exclusions
     * @param excluded the servers that the requests must not be sent to
     */
    ClassQueue(CandidateSet candidates, Set<BackendServerId> excluded) {
        mCandidates = candidates;
        mExcluded = excluded;
    }

    /**
     * Adds a request.
     *
     * @param request the request
     */
    void add(WaitingRequest request) {
        mOnTime.add(request);
        if (request.transferable()) {
            mTransferable.addLast(request);
        }
        mSize++;
    }

    /**
     * Moves a request behind those that can still meet their target.
     *
     * @param request a waiting request of this queue
     */
    void markMissed(WaitingRequest request) {
        mOnTime.removed(request);
        request.markMissed();
        mMissed.add(request);
    }

    /**
     * Returns the next request without removing it.
     *
     * @return the next request, or null if the queue is empty
     */
    WaitingRequest peek() {
        WaitingRequest next = mOnTime.peek();
        return next == null ? mMissed.peek() : next;
    }

    /**
     * Removes the next request and moves its account to the end of the rotation.
     *
     * @param request the request that {@link #peek} returned
     */
    void poll(WaitingRequest request) {
        AccountRotation rotation = rotation(request);
        remove(request);
        rotation.rotate();
    }

    /**
     * Removes a request.
     *
     * @param request a waiting request of this queue
     */
    void remove(WaitingRequest request) {
        rotation(request).removed(request);
        request.markRemoved();
        mSize--;
    }

    /**
     * Returns the rotation that holds a request.
     *
     * @param request a waiting request of this queue
     * @return the rotation
     */
    private AccountRotation rotation(WaitingRequest request) {
        return request.missed() ? mMissed : mOnTime;
    }

    /**
     * Returns the request to drop first: the newest one of the account with the most requests.
     * Requests that miss their target are dropped before the others.
     *
     * @return the request, or null if the queue is empty
     */
    WaitingRequest firstToDrop() {
        WaitingRequest missed = mMissed.newestOfLargestAccount();
        return missed == null ? mOnTime.newestOfLargestAccount() : missed;
    }

    /**
     * Returns the start of the wait of the oldest request that may be handed over to a peer.
     *
     * @param nowNanos the time to return if there is none
     * @return the local monotonic time
     */
    long oldestTransferableNanos(long nowNanos) {
        WaitingRequest oldest = mTransferable.peekFirst();
        return oldest == null ? nowNanos : oldest.deadlines().sinceNanos();
    }

    /**
     * Tells whether the queue has a request and a server has a free slot for it.
     *
     * @return true if the next request can be started
     */
    boolean open() {
        return mSize > 0 && mCandidates.open(mExcluded);
    }

    /**
     * Tells whether none of the allowed servers has any slots, free or in use.
     *
     * @return true if no server that is not excluded has slots
     */
    boolean hasNoServer() {
        return mCandidates.hasNoServer(mExcluded);
    }

    /**
     * Returns the servers that may run the requests, before exclusions.
     *
     * @return the servers
     */
    CandidateSet candidates() {
        return mCandidates;
    }

    /**
     * Returns the servers that the requests must not be sent to.
     *
     * @return the servers
     */
    Set<BackendServerId> excluded() {
        return mExcluded;
    }

    /**
     * Returns the class in the current configuration.
     *
     * @return the class
     */
    RequestClass requestClass() {
        return mCandidates.requestClass();
    }

    /**
     * Returns the tier of the class.
     *
     * @return the tier
     */
    Tier tier() {
        return mCandidates.tier();
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
     * Returns the requests that may be handed over to a peer with free slots.
     *
     * @return the requests in the order of their deadlines
     */
    RequestDeque earlyHandOvers() {
        return mEarlyHandOvers;
    }

    /**
     * Returns the requests that may also be handed over to a peer that runs lower tiers.
     *
     * @return the requests in the order of their deadlines
     */
    RequestDeque lateHandOvers() {
        return mLateHandOvers;
    }

    /**
     * Returns the requests that are about to miss their target and have no victim to preempt yet.
     *
     * @return the requests in the order of their deadlines
     */
    RequestDeque atRisk() {
        return mAtRisk;
    }
}
