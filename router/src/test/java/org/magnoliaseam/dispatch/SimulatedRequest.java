package org.magnoliaseam.dispatch;

import org.magnoliaseam.model.BackendServerId;
import org.magnoliaseam.model.Tier;

/** Holds one request of a {@link SimulatedSite} from its arrival to its end. */
final class SimulatedRequest {

    /** Lists the states of a request; {@code IN_TRANSIT} is on the way to a queue. */
    enum State {
        IN_TRANSIT,
        WAITING,
        RUNNING,
        FINISHED,
        REFUSED,
        WITHDRAWN
    }

    final long mArrivedNanos;
    WorkItem mWork;
    SimulatedEntry mEntry;
    State mState = State.IN_TRANSIT;
    long mRemainingNanos;
    BackendServerId mServer;
    long mStartedNanos = -1;
    long mSinceNanos;
    long mFirstStartNanos = -1;
    long mEndedNanos;
    boolean mGranted;
    String mBeneficiary = "";

    SimulatedRequest(WorkItem work, SimulatedEntry entry, long serviceNanos) {
        this.mWork = work;
        this.mEntry = entry;
        this.mRemainingNanos = serviceNanos;
        this.mArrivedNanos = work.arrivedNanos();
    }

    Tier tier() {
        return mWork.requestClass().tier();
    }

    boolean mayUse(BackendServerId server) {
        return mWork.requestClass().backendServers().contains(server)
                && !mWork.excluded().contains(server);
    }

    boolean ended() {
        return mState.compareTo(State.FINISHED) >= 0;
    }
}
