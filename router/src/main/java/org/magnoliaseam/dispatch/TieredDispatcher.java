package org.magnoliaseam.dispatch;

import java.util.ArrayList;
import java.util.List;
import org.magnoliaseam.error.ErrorKind;
import org.magnoliaseam.fleet.ClassFreeSlots;
import org.magnoliaseam.fleet.FleetView;
import org.magnoliaseam.fleet.TierLoad;
import org.magnoliaseam.model.RequestId;
import org.magnoliaseam.model.Tier;

/**
 * Decides by tiers: the highest tier is started first. A request that would miss its target
 * preempts one of a lower tier or is handed over to a peer. Every class keeps a guaranteed share of
 * starts.
 */
public final class TieredDispatcher implements Dispatcher {

    /** The queue limit per tier before the first view arrives, in requests. */
    private static final int INITIAL_QUEUE_LIMIT = 1000;

    /** The number of nanoseconds in a millisecond. */
    private static final long NANOS_PER_MILLI = 1_000_000;

    /** The servers. */
    private final ServerTable mServers = new ServerTable();

    /** The waiting requests. */
    private final RequestQueues mQueues = new RequestQueues();

    /** The running requests. */
    private final RunningTable mRunning = new RunningTable();

    /** The peers. */
    private final PeerTable mPeers = new PeerTable();

    /** Starts waiting requests. */
    private final StartRule mStartRule;

    /** Hands requests over to peers. */
    private final HandOverRule mHandOverRule;

    /** Cancels running requests of lower tiers. */
    private final PreemptionRule mPreemptionRule;

    /** The queue limit per tier, in requests. */
    private int mQueueLimit = INITIAL_QUEUE_LIMIT;

    /** Whether this process is shutting down and accepts no new requests. */
    private boolean mLeaving;

    /** The local monotonic time at which this process last stopped accepting new requests. */
    private long mLeftNanos;

    /** The number of requests offered so far. */
    private long mOffers;

    /**
     * Creates a dispatcher without servers.
     *
     * @param seed the seed of the random candidates
     */
    public TieredDispatcher(long seed) {
        Placement placement = new Placement(mServers, seed);
        mStartRule = new StartRule(mQueues, mServers, mRunning, placement);
        mHandOverRule = new HandOverRule(mQueues, mServers, mRunning, mPeers);
        mPreemptionRule = new PreemptionRule(mQueues, mServers);
    }

    @Override
    public List<Decision> update(FleetView view, long nowNanos) {
        mQueueLimit = view.configuration().configuration().tuning().queueLimit();
        if (view.leaving() && !mLeaving) {
            mLeftNanos = nowNanos;
        }
        mLeaving = view.leaving();
        mServers.update(view, mQueues::inUse);
        mQueues.regroup();
        mPeers.update(view, nowNanos);
        List<Decision> decisions = new ArrayList<>();
        if (mLeaving) {
            dismissUnstarted(nowNanos, decisions);
        }
        return decideAll(nowNanos, decisions);
    }

    @Override
    public List<Decision> offer(WorkItem work, long nowNanos) {
        if (mRunning.contains(work.id())) {
            throw new IllegalStateException("request is already running");
        }
        List<Decision> decisions = new ArrayList<>(2);
        ClassQueue queue = mQueues.queue(mServers.candidates(work), work.excluded());
        WaitingRequest request =
                new WaitingRequest(work, queue, deadlines(work, queue, nowNanos), ++mOffers);
        if (mLeaving && !work.started()) {
            Decision decision =
                    mHandOverRule.handOverOrRefuse(request, ErrorKind.LEAVING, nowNanos);
            if (leavesQueue(request, decision)) {
                decisions.add(decision);
                return decisions;
            }
        }
        if (!hasRoom(request, nowNanos, decisions)) {
            decisions.add(mHandOverRule.handOverOrRefuse(request, ErrorKind.OVERLOADED, nowNanos));
            return decisions;
        }
        mQueues.add(request, nowNanos);
        mStartRule.apply(nowNanos, decisions);
        if (request.waiting()) {
            mQueues.schedule(request);
        }
        return decideAll(nowNanos, decisions);
    }

    /**
     * Computes the deadlines of a request.
     *
     * @param work the request
     * @param queue the queue in which it waits
     * @param nowNanos the local monotonic time
     * @return the deadlines
     */
    private static WaitDeadlines deadlines(WorkItem work, ClassQueue queue, long nowNanos) {
        long firstTokenNanos = queue.candidates().firstTokenNanos();
        return WaitDeadlines.of(work, queue.requestClass(), firstTokenNanos, nowNanos);
    }

    /**
     * Tells whether the queue has room for a request. If it is full, drops a request of a lower
     * tier to make room.
     *
     * @param request the request
     * @param nowNanos the local monotonic time
     * @param decisions takes the decision about the dropped request
     * @return true if the request can be added
     */
    private boolean hasRoom(WaitingRequest request, long nowNanos, List<Decision> decisions) {
        WorkItem work = request.work();
        boolean open = request.queue().candidates().open(work.excluded());
        boolean needsRoom = !work.started() && !open;
        if (!needsRoom || !mQueues.full(request.tier(), mQueueLimit)) {
            return true;
        }
        WaitingRequest dropped = mQueues.firstToDropBelow(request.tier());
        if (dropped == null) {
            return false;
        }
        mQueues.remove(dropped);
        decisions.add(mHandOverRule.handOverOrRefuse(dropped, ErrorKind.OVERLOADED, nowNanos));
        return true;
    }

    @Override
    public List<Decision> finished(RequestId id, long nowNanos) {
        RunningRequest finished = mRunning.finish(id, nowNanos);
        if (finished == null) {
            return List.of();
        }
        mPreemptionRule.reserveFreedSlot(finished);
        return decideAll(nowNanos, new ArrayList<>(2));
    }

    @Override
    public List<Decision> withdraw(RequestId id, long nowNanos) {
        WaitingRequest request = mQueues.waiting(id);
        if (request == null) {
            return List.of();
        }
        mQueues.remove(request);
        return decideAll(nowNanos, new ArrayList<>(2));
    }

    @Override
    public boolean waits(RequestId id) {
        return mQueues.waiting(id) != null;
    }

    @Override
    public List<Decision> tick(long nowNanos) {
        return decideAll(nowNanos, new ArrayList<>(2));
    }

    /**
     * Makes all decisions that are possible now.
     *
     * @param nowNanos the local monotonic time
     * @param decisions the decisions made so far
     * @return all decisions
     */
    private List<Decision> decideAll(long nowNanos, List<Decision> decisions) {
        mServers.updatePressure(mPeers.pressuredTiers(nowNanos));
        mRunning.endProtection(nowNanos);
        mStartRule.apply(nowNanos, decisions);
        List<WaitingRequest> expired = advanceStages(nowNanos);
        mHandOverRule.apply(false, nowNanos, decisions);
        for (WaitingRequest request : expired) {
            if (request.waiting()) {
                decisions.add(expire(request, nowNanos));
            }
        }
        mPreemptionRule.apply(decisions);
        mHandOverRule.apply(true, nowNanos, decisions);
        return decisions;
    }

    /**
     * Begins the stages of waits whose time has come.
     *
     * @param nowNanos the local monotonic time
     * @return the requests that have waited too long
     */
    private List<WaitingRequest> advanceStages(long nowNanos) {
        List<WaitingRequest> expired = List.of();
        WaitingRequest request = mQueues.pollDue(nowNanos);
        while (request != null) {
            WaitStage stage = request.advanceStage();
            if (stage == WaitStage.EXPIRY) {
                expired = expired.isEmpty() ? new ArrayList<>() : expired;
                expired.add(request);
            } else {
                begin(stage, request);
                mQueues.schedule(request);
            }
            request = mQueues.pollDue(nowNanos);
        }
        return expired;
    }

    /**
     * Begins a stage of a wait.
     *
     * @param stage the stage
     * @param request the request
     */
    private static void begin(WaitStage stage, WaitingRequest request) {
        ClassQueue queue = request.queue();
        boolean transferable = request.transferable();
        switch (stage) {
            case EARLY_HAND_OVER -> addIf(transferable, request, queue.earlyHandOvers());
            case PREEMPTION -> {
                queue.atRisk().addLast(request);
                addIf(transferable, request, queue.lateHandOvers());
            }
            case MISSED -> queue.markMissed(request);
            default -> addIf(transferable, request, queue.lateHandOvers());
        }
    }

    /**
     * Adds a request to a deque if a condition holds.
     *
     * @param condition whether to add it
     * @param request the request
     * @param deque the deque
     */
    private static void addIf(boolean condition, WaitingRequest request, RequestDeque deque) {
        if (condition) {
            deque.addLast(request);
        }
    }

    /**
     * Hands over or refuses a request that has waited as long as its class allows.
     *
     * @param request the request
     * @param nowNanos the local monotonic time
     * @return the decision
     */
    private Decision expire(WaitingRequest request, long nowNanos) {
        ErrorKind kind =
                request.queue().hasNoServer()
                        ? ErrorKind.NO_BACKEND_SERVER
                        : ErrorKind.QUEUE_TIMEOUT;
        mQueues.remove(request);
        return mHandOverRule.handOverOrRefuse(request, kind, nowNanos);
    }

    /**
     * Hands over the waiting requests that were never started, when the process shuts down.
     *
     * @param nowNanos the local monotonic time
     * @param decisions takes the decisions
     */
    private void dismissUnstarted(long nowNanos, List<Decision> decisions) {
        for (WaitingRequest request : mQueues.all()) {
            if (request.work().started()) {
                continue;
            }
            Decision decision =
                    mHandOverRule.handOverOrRefuse(request, ErrorKind.LEAVING, nowNanos);
            if (leavesQueue(request, decision)) {
                mQueues.remove(request);
                decisions.add(decision);
            }
        }
    }

    /**
     * Tells whether a request leaves the queue of a process that is shutting down. A request that
     * was accepted before, comes back from a peer, or holds a ticket of this process, which no
     * other process can redeem, keeps waiting here unless a peer takes it.
     *
     * @param request the request
     * @param decision the decision to hand it over or refuse it
     * @return true if the decision applies; false if the request keeps waiting here
     */
    private boolean leavesQueue(WaitingRequest request, Decision decision) {
        WorkItem work = request.work();
        boolean accepted = work.arrivedNanos() <= mLeftNanos || work.handedOver();
        return decision instanceof Decision.HandOver
                || !accepted && work.requestClass().idempotent();
    }

    /**
     * Summarizes the load for the peers. A long wait makes the peers withhold servers from lower
     * tiers, which is useless if no peer can end the wait. Therefore requests that no server can
     * run are not counted, and the wait of requests that were handed over or started before is
     * ignored.
     */
    @Override
    public List<TierLoad> pressure(long nowNanos) {
        List<TierLoad> pressure = new ArrayList<>(Tier.LOWEST_RANK);
        for (int rank = 1; rank <= Tier.LOWEST_RANK; rank++) {
            int queued = 0;
            long oldest = nowNanos;
            for (ClassQueue queue : mQueues.queues(rank)) {
                if (queue.size() > 0 && !queue.hasNoServer()) {
                    queued += queue.size();
                    oldest = Math.min(oldest, queue.oldestTransferableNanos(nowNanos));
                }
            }
            long wait = (nowNanos - oldest) / NANOS_PER_MILLI;
            pressure.add(new TierLoad(new Tier(rank), queued, wait, mRunning.count(rank)));
        }
        return pressure;
    }

    @Override
    public List<ClassFreeSlots> room() {
        return mLeaving ? List.of() : mServers.room();
    }
}
