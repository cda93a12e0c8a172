package org.magnoliaseam.dispatch;

import java.util.ArrayList;
import java.util.List;
import org.magnoliaseam.error.ErrorKind;
import org.magnoliaseam.fleet.ClassRoom;
import org.magnoliaseam.fleet.FleetView;
import org.magnoliaseam.fleet.TierPressure;
import org.magnoliaseam.model.RequestId;
import org.magnoliaseam.model.Tier;

/**
 * Decides by tiers: the highest tier goes first, a higher tier that would miss its target preempts
 * a lower one or goes to a peer, and every class keeps a guaranteed share of starts.
 */
public final class TieredDispatcher implements Dispatcher {

    /** The requests that one tier may hold before the first view arrives. */
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

    /** Starts requests. */
    private final StartRule mStartRule;

    /** Passes requests to peers. */
    private final HandOverRule mHandOverRule;

    /** Cancels requests of lower tiers. */
    private final PreemptionRule mPreemptionRule;

    /** The requests that one tier may hold. */
    private int mQueueLimit = INITIAL_QUEUE_LIMIT;

    /** Whether this process takes no new work. */
    private boolean mLeaving;

    /** The number of requests taken so far. */
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
        mLeaving = view.leaving();
        mServers.update(view, mQueues::inUse);
        mQueues.regroup();
        mPeers.update(view, nowNanos);
        List<Decision> decisions = new ArrayList<>();
        if (mLeaving) {
            dismissNew(nowNanos, decisions);
        }
        return settle(nowNanos, decisions);
    }

    @Override
    public List<Decision> offer(Work work, long nowNanos) {
        if (mRunning.contains(work.id())) {
            throw new IllegalStateException("request runs already");
        }
        List<Decision> decisions = new ArrayList<>(2);
        ClassQueue queue = mQueues.queue(mServers.candidates(work), work.excluded());
        WaitingRequest request =
                new WaitingRequest(work, queue, deadlines(work, queue, nowNanos), ++mOffers);
        if (mLeaving && !work.started()) {
            Decision decision = mHandOverRule.passOnOrRefuse(request, ErrorKind.LEAVING, nowNanos);
            if (ends(request, decision)) {
                decisions.add(decision);
                return decisions;
            }
        }
        if (!hasRoom(request, nowNanos, decisions)) {
            decisions.add(mHandOverRule.passOnOrRefuse(request, ErrorKind.OVERLOADED, nowNanos));
            return decisions;
        }
        mQueues.add(request, nowNanos);
        mStartRule.apply(nowNanos, decisions);
        if (request.waiting()) {
            mQueues.schedule(request);
        }
        return settle(nowNanos, decisions);
    }

    /**
     * Computes the deadlines of a request.
     *
     * @param work the request
     * @param queue the queue in which it waits
     * @param nowNanos the local monotonic time
     * @return the deadlines
     */
    private static WaitDeadlines deadlines(Work work, ClassQueue queue, long nowNanos) {
        long firstTokenNanos = queue.candidates().firstTokenNanos();
        return WaitDeadlines.of(work, queue.requestClass(), firstTokenNanos, nowNanos);
    }

    /**
     * Tells whether a request finds room in the queue; drops a lower tier if need be.
     *
     * @param request the request
     * @param nowNanos the local monotonic time
     * @param decisions takes the decision about a request that is dropped
     * @return true if the request can be added
     */
    private boolean hasRoom(WaitingRequest request, long nowNanos, List<Decision> decisions) {
        Work work = request.work();
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
        decisions.add(mHandOverRule.passOnOrRefuse(dropped, ErrorKind.OVERLOADED, nowNanos));
        return true;
    }

    @Override
    public List<Decision> finished(RequestId id, long nowNanos) {
        RunningRequest finished = mRunning.finish(id, nowNanos);
        if (finished == null) {
            return List.of();
        }
        mPreemptionRule.settle(finished);
        return settle(nowNanos, new ArrayList<>(2));
    }

    @Override
    public List<Decision> withdraw(RequestId id, long nowNanos) {
        WaitingRequest request = mQueues.waiting(id);
        if (request == null) {
            return List.of();
        }
        mQueues.remove(request);
        return settle(nowNanos, new ArrayList<>(2));
    }

    @Override
    public boolean waits(RequestId id) {
        return mQueues.waiting(id) != null;
    }

    @Override
    public List<Decision> tick(long nowNanos) {
        return settle(nowNanos, new ArrayList<>(2));
    }

    /**
     * Decides all that can be decided now.
     *
     * @param nowNanos the local monotonic time
     * @param decisions the decisions made so far
     * @return all decisions
     */
    private List<Decision> settle(long nowNanos, List<Decision> decisions) {
        mServers.admit(mPeers.pressured(nowNanos));
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
     * Begins the stages whose time has come.
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
            case EARLY_HAND_OVER -> addIf(transferable, request, queue.early());
            case PREEMPTION -> {
                queue.atRisk().addLast(request);
                addIf(transferable, request, queue.late());
            }
            case MISSED -> queue.miss(request);
            default -> addIf(transferable, request, queue.late());
        }
    }

    /**
     * Adds a request to a list.
     *
     * @param condition whether to add it
     * @param request the request
     * @param list the list
     */
    private static void addIf(boolean condition, WaitingRequest request, RequestDeque list) {
        if (condition) {
            list.addLast(request);
        }
    }

    /**
     * Refuses a request that has waited too long, unless a peer takes it.
     *
     * @param request the request
     * @param nowNanos the local monotonic time
     * @return the decision
     */
    private Decision expire(WaitingRequest request, long nowNanos) {
        ErrorKind kind =
                request.queue().unserved() ? ErrorKind.NO_BACKEND_SERVER : ErrorKind.QUEUE_TIMEOUT;
        mQueues.remove(request);
        return mHandOverRule.passOnOrRefuse(request, kind, nowNanos);
    }

    /**
     * Passes on or refuses all waiting requests that were never started.
     *
     * @param nowNanos the local monotonic time
     * @param decisions takes the decisions
     */
    private void dismissNew(long nowNanos, List<Decision> decisions) {
        for (WaitingRequest request : mQueues.all()) {
            if (request.work().started()) {
                continue;
            }
            Decision decision = mHandOverRule.passOnOrRefuse(request, ErrorKind.LEAVING, nowNanos);
            if (ends(request, decision)) {
                mQueues.remove(request);
                decisions.add(decision);
            }
        }
    }

    /**
     * Tells whether a request ends its wait in a leaving process. A request that is not idempotent
     * holds a ticket of this process, which no other one can honour, so it waits here if no peer
     * takes it.
     *
     * @param request the request
     * @param decision what to do with it otherwise
     * @return false if the request waits here
     */
    private static boolean ends(WaitingRequest request, Decision decision) {
        return decision instanceof Decision.HandOver || request.work().requestClass().idempotent();
    }

    /**
     * Summarizes the load for the peers. A wait that no peer can end must not withhold work there,
     * so that of requests without a server, handed over or started doesn't count.
     */
    @Override
    public List<TierPressure> pressure(long nowNanos) {
        List<TierPressure> pressure = new ArrayList<>(Tier.LOWEST_RANK);
        for (int rank = 1; rank <= Tier.LOWEST_RANK; rank++) {
            int queued = 0;
            long oldest = nowNanos;
            for (ClassQueue queue : mQueues.queues(rank)) {
                if (queue.size() > 0 && !queue.unserved()) {
                    queued += queue.size();
                    oldest = Math.min(oldest, queue.oldestTransferableNanos(nowNanos));
                }
            }
            long wait = (nowNanos - oldest) / NANOS_PER_MILLI;
            pressure.add(new TierPressure(new Tier(rank), queued, wait, mRunning.count(rank)));
        }
        return pressure;
    }

    @Override
    public List<ClassRoom> room() {
        return mLeaving ? List.of() : mServers.room();
    }
}
