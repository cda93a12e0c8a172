package org.magnoliaseam.dispatch;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import org.magnoliaseam.fleet.ServerView;
import org.magnoliaseam.model.BackendServerId;
import org.magnoliaseam.model.Tier;

/** Holds the requests of this entry VM on one backend server, and the last view of the server. */
final class ServerState {

    /** The name of the server. */
    private final BackendServerId mId;

    /** The running requests that may be preempted, by rank, in the order of their starts. */
    private final List<List<RunningRequest>> mPreemptible = new ArrayList<>();

    /** The candidate sets that contain the server. */
    private final List<CandidateSet> mSets = new ArrayList<>();

    /** The position of the server in each set, by the index of the set; -1 if not a member. */
    private int[] mPositions = {};

    /** The last view of the server. */
    private ServerView mView;

    /** Whether the last view of the fleet holds the server. */
    private boolean mInView = true;

    /** The running requests of this entry VM. */
    private int mRunning;

    /** Whether the last start used the guaranteed share of its class. */
    private boolean mLastStartGranted;

    /** The waiting requests for which a free slot is reserved after a preemption. */
    private final List<WaitingRequest> mReservedFor = new ArrayList<>();

    /** The rank of the lowest tier that may be started, according to the reports of the peers. */
    private int mAdmissionRank = Tier.LOWEST_RANK;

    /**
     * Creates an idle server.
     *
     * @param view the view of the server
     */
    ServerState(ServerView view) {
        mId = view.server().id();
        mView = view;
        for (int rank = 0; rank <= Tier.LOWEST_RANK; rank++) {
            mPreemptible.add(new ArrayList<>());
        }
    }

    /**
     * Replaces the view of the server.
     *
     * @param view the view
     */
    void view(ServerView view) {
        mView = view;
        mInView = true;
    }

    /** Records that the server is no longer in the fleet; its running requests continue. */
    void removeFromView() {
        mInView = false;
    }

    /**
     * Removes the server from all candidate sets.
     *
     * @param sets the number of sets that are rebuilt next
     */
    void clearSets(int sets) {
        mSets.clear();
        mPositions = new int[sets];
        Arrays.fill(mPositions, -1);
    }

    /**
     * Adds the server to a set.
     *
     * @param set the set
     * @param index the index of the set
     * @param position the position of the server in the set
     */
    void addToSet(CandidateSet set, int index, int position) {
        if (index >= mPositions.length) {
            int from = mPositions.length;
            mPositions = Arrays.copyOf(mPositions, index + 1);
            Arrays.fill(mPositions, from, mPositions.length, -1);
        }
        mSets.add(set);
        mPositions[index] = position;
    }

    /**
     * Records the position of the server in a set.
     *
     * @param index the index of the set
     * @param position the position
     */
    void moveTo(int index, int position) {
        mPositions[index] = position;
    }

    /**
     * Returns the position of the server in a set.
     *
     * @param index the index of the set
     * @return the position; -1 if the server is not a member
     */
    int position(int index) {
        return index < mPositions.length ? mPositions[index] : -1;
    }

    /**
     * Counts a started request.
     *
     * @param granted whether the start uses the guaranteed share of its class
     */
    void started(boolean granted) {
        mRunning++;
        mLastStartGranted = granted;
    }

    /**
     * Tells whether the last start used the guaranteed share of its class.
     *
     * @return true if it did
     */
    boolean lastStartGranted() {
        return mLastStartGranted;
    }

    /** Counts a request that freed its slot. */
    void finished() {
        mRunning--;
    }

    /**
     * Adds a request to those that may be preempted.
     *
     * @param request a running request
     */
    void addPreemptible(RunningRequest request) {
        mPreemptible.get(request.tier().rank()).add(request);
        for (CandidateSet set : mSets) {
            set.countPreemptible(request.tier().rank(), 1);
        }
    }

    /**
     * Removes a request from those that may be preempted.
     *
     * @param request a running request; ignored if it was not among them
     */
    void removePreemptible(RunningRequest request) {
        if (!mPreemptible.get(request.tier().rank()).remove(request)) {
            return;
        }
        for (CandidateSet set : mSets) {
            set.countPreemptible(request.tier().rank(), -1);
        }
    }

    /**
     * Returns the running requests that may be preempted.
     *
     * @param rank the rank of their tier
     * @return the requests in the order of their starts
     */
    List<RunningRequest> preemptible(int rank) {
        return mPreemptible.get(rank);
    }

    /**
     * Counts a start for the guaranteed shares of all classes that may use the server.
     *
     * @param started the candidate set of the started request
     * @param nowNanos the local monotonic time
     */
    void countStart(CandidateSet started, long nowNanos) {
        for (CandidateSet set : mSets) {
            set.share().countStart(nowNanos);
        }
        started.share().countOwnStart(nowNanos);
    }

    /** Updates the position in each set after a change of the free slots or the admitted tiers. */
    void reposition() {
        for (CandidateSet set : mSets) {
            set.reposition(this);
        }
    }

    /**
     * Returns the name of the server.
     *
     * @return the name
     */
    BackendServerId id() {
        return mId;
    }

    /**
     * Returns the last view of the server.
     *
     * @return the view
     */
    ServerView view() {
        return mView;
    }

    /**
     * Tells whether the last view of the fleet holds the server.
     *
     * @return true if it does
     */
    boolean inView() {
        return mInView;
    }

    /**
     * Returns the number of running requests of this entry VM.
     *
     * @return the count
     */
    int running() {
        return mRunning;
    }

    /**
     * Returns the number of requests that this entry VM may run on the server at once.
     *
     * @return the slots; 0 if the server is not in the view
     */
    int slots() {
        return mInView ? mView.slots() : 0;
    }

    /**
     * Returns the number of slots that are not in use.
     *
     * @return the free slots, never negative
     */
    int freeSlots() {
        return Math.max(0, slots() - mRunning);
    }

    /**
     * Returns the number of free slots that a granted start may use.
     *
     * @return the free slots that are not reserved, never negative
     */
    int unreservedSlots() {
        return Math.max(0, freeSlots() - mReservedFor.size());
    }

    /**
     * Reserves a free slot for a request.
     *
     * @param request the waiting request for which a running one was preempted
     */
    void reserve(WaitingRequest request) {
        mReservedFor.add(request);
        request.reservedOn(Optional.of(this));
    }

    /**
     * Releases the slot reserved for a request.
     *
     * @param request a request with a slot reserved here
     */
    void release(WaitingRequest request) {
        mReservedFor.remove(request);
        request.reservedOn(Optional.empty());
    }

    /**
     * Releases the reservations for which no free slot is left. Either a request of at least the
     * same tier took the slot, or the server has fewer slots now. The requests are at risk again.
     */
    void releaseExcess() {
        while (mReservedFor.size() > freeSlots()) {
            WaitingRequest last = mReservedFor.get(mReservedFor.size() - 1);
            release(last);
            last.queue().atRisk().addLast(last);
        }
    }

    /**
     * Tells whether a request may be started on the server.
     *
     * @param tier the tier of the request
     * @return true if a slot is free and the tier is admitted
     */
    boolean openFor(Tier tier) {
        return tier.rank() <= mAdmissionRank && freeSlots() > 0;
    }

    /**
     * Sets the lowest tier that may be started.
     *
     * @param rank the rank of the tier
     */
    void admissionRank(int rank) {
        mAdmissionRank = rank;
    }
}
