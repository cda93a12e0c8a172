package org.magnoliaseam.dispatch;

import java.util.Optional;
import org.magnoliaseam.model.RequestId;
import org.magnoliaseam.model.Tier;

/** Holds one waiting request with its deadlines. */
final class WaitingRequest {

    /** The request. */
    private final WorkItem mWork;

    /** The queue that holds the request. */
    private final ClassQueue mQueue;

    /** The deadlines of the wait. */
    private final WaitDeadlines mDeadlines;

    /** The sequence number of the request in the order in which it was offered. */
    private final long mSequence;

    /** The next stage of the wait. */
    private WaitStage mNextStage = WaitStage.EARLY_HAND_OVER;

    /** Whether the request is still in its queue. */
    private boolean mWaiting = true;

    /** Whether the request misses its target even if it is started now. */
    private boolean mMissed;

    /** Whether a running request is being cancelled for this one. */
    private boolean mVictimOutstanding;

    /** The server on which a slot is reserved, if any. */
    private Optional<ServerState> mReservedOn = Optional.empty();

    /**
     * Creates a waiting request.
     *
     * @param work the request
     * @param queue the queue that holds it
     * @param deadlines the deadlines of the wait
     * @param sequence the sequence number in the order in which requests are offered
     */
    WaitingRequest(WorkItem work, ClassQueue queue, WaitDeadlines deadlines, long sequence) {
        mWork = work;
        mQueue = queue;
        mDeadlines = deadlines;
        mSequence = sequence;
    }

    /**
     * Returns the request.
     *
     * @return the request
     */
    WorkItem work() {
        return mWork;
    }

    /**
     * Returns the identifier of the request.
     *
     * @return the identifier
     */
    RequestId id() {
        return mWork.id();
    }

    /**
     * Returns the tier in which the request waits.
     *
     * @return the tier
     */
    Tier tier() {
        return mQueue.tier();
    }

    /**
     * Returns the queue that holds the request.
     *
     * @return the queue
     */
    ClassQueue queue() {
        return mQueue;
    }

    /**
     * Returns the deadlines of the wait.
     *
     * @return the deadlines
     */
    WaitDeadlines deadlines() {
        return mDeadlines;
    }

    /**
     * Returns the time of the next stage.
     *
     * @return the local monotonic time
     */
    long nextStageNanos() {
        return mDeadlines.begin(mNextStage);
    }

    /**
     * Moves on to the next stage.
     *
     * @return the stage that has begun
     */
    WaitStage advanceStage() {
        WaitStage begun = mNextStage;
        mNextStage = begun.next();
        return begun;
    }

    /**
     * Tells whether the request is still in its queue.
     *
     * @return true while it waits
     */
    boolean waiting() {
        return mWaiting;
    }

    /**
     * Tells whether the request waits and can still meet its target.
     *
     * @return true if it waits and can meet its target
     */
    boolean onTime() {
        return mWaiting && !mMissed;
    }

    /**
     * Tells whether the request waits and misses its target even if it is started now.
     *
     * @return true if it waits and can't meet its target
     */
    boolean missed() {
        return mWaiting && mMissed;
    }

    /** Records that the request misses its target even if it is started now. */
    void markMissed() {
        mMissed = true;
    }

    /**
     * Tells whether the request is started before another one of its tier. Requests that can still
     * meet their target come first; among equals the deadline decides.
     *
     * @param other the other request
     * @return true if this one is started first
     */
    boolean precedes(WaitingRequest other) {
        if (mMissed != other.mMissed) {
            return other.mMissed;
        }
        return mDeadlines.dueNanos() < other.mDeadlines.dueNanos();
    }

    /**
     * Compares two requests by the time of their next stage, then by sequence number.
     *
     * @param one a request
     * @param other another request
     * @return a negative number if the first one comes first
     */
    static int compareStages(WaitingRequest one, WaitingRequest other) {
        int order = Long.compare(one.nextStageNanos(), other.nextStageNanos());
        return order == 0 ? Long.compare(one.mSequence, other.mSequence) : order;
    }

    /** Records that the request has left its queue. */
    void markRemoved() {
        mWaiting = false;
    }

    /**
     * Tells whether a slot is or will be reserved for this request after a preemption.
     *
     * @return true while the victim has not finished or a slot is reserved
     */
    boolean awaitsSlot() {
        return mVictimOutstanding || mReservedOn.isPresent();
    }

    /**
     * Records whether a running request is being cancelled for this one.
     *
     * @param outstanding true while the victim has not finished
     */
    void victimOutstanding(boolean outstanding) {
        mVictimOutstanding = outstanding;
    }

    /**
     * Returns the server on which a slot is reserved.
     *
     * @return the server, if any
     */
    Optional<ServerState> reservedOn() {
        return mReservedOn;
    }

    /**
     * Records the server on which a slot is reserved.
     *
     * @param server the server, if any
     */
    void reservedOn(Optional<ServerState> server) {
        mReservedOn = server;
    }

    /**
     * Tells whether the request can be started on a server now.
     *
     * @param server the server
     * @return true if the server is an open candidate and not excluded
     */
    boolean mayUse(ServerState server) {
        return mQueue.candidates().containsOpen(server) && !mQueue.excluded().contains(server.id());
    }

    /**
     * Tells whether the request may be handed over to a peer. A request that came from a peer is
     * not handed over again. A request that was started before stays, as tokens may already have
     * been relayed from here.
     *
     * @return true if it was neither handed over nor started before
     */
    boolean transferable() {
        return !mWork.handedOver() && !mWork.started();
    }
}
