package org.magnoliaseam.dispatch;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.magnoliaseam.error.ErrorKind;
import org.magnoliaseam.fleet.ClassFreeSlots;
import org.magnoliaseam.fleet.FleetView;
import org.magnoliaseam.fleet.ServerView;
import org.magnoliaseam.fleet.TierLoad;
import org.magnoliaseam.model.BackendServerId;
import org.magnoliaseam.model.RequestId;
import org.magnoliaseam.model.Tier;
import org.magnoliaseam.settings.RequestClass;

/**
 * Starts requests first in, first out, without tiers. It is the baseline for comparisons with the
 * tiered dispatcher. A request is skipped only if none of its servers has a free slot.
 */
public final class FifoDispatcher implements Dispatcher {

    /** The queue limit per tier before the first view arrives, in requests. */
    private static final int INITIAL_QUEUE_LIMIT = 1000;

    /** The number of nanoseconds in a millisecond. */
    private static final long NANOS_PER_MILLI = 1_000_000;

    /** The number of milliseconds in a second. */
    private static final long MILLIS_PER_SECOND = 1000;

    /** The choice of servers. */
    private final FifoPlacement mPlacement;

    /** The waiting requests in the order of arrival. */
    private final Map<RequestId, Queued> mQueue = new LinkedHashMap<>();

    /** The running requests. */
    private final Map<RequestId, Running> mRunning = new HashMap<>();

    /** The number of running requests of each server. */
    private final Map<BackendServerId, Integer> mRunningOn = new HashMap<>();

    /** The servers in the view. */
    private Map<BackendServerId, ServerView> mServers = Map.of();

    /** The queue limit per tier in requests; the queue holds this number times the tiers. */
    private int mQueueLimit = INITIAL_QUEUE_LIMIT;

    /** Whether this process is shutting down and accepts no new requests. */
    private boolean mLeaving;

    /** The number of starts so far. */
    private long mStarts;

    /**
     * Holds a waiting request.
     *
     * @param work the request
     * @param sinceNanos the start of the wait in local monotonic time
     */
    private record Queued(WorkItem work, long sinceNanos) {}

    /**
     * Holds a running request.
     *
     * @param tier the tier of the request
     * @param server the server that runs it
     */
    private record Running(Tier tier, BackendServerId server) {}

    /**
     * Creates a dispatcher without servers.
     *
     * @param placement the choice of servers
     */
    FifoDispatcher(FifoPlacement placement) {
        mPlacement = placement;
    }

    @Override
    public List<Decision> update(FleetView view, long nowNanos) {
        mServers = view.servers();
        mLeaving = view.leaving();
        mQueueLimit = view.configuration().configuration().tuning().queueLimit();
        return startAndRefuse(nowNanos);
    }

    @Override
    public List<Decision> offer(WorkItem work, long nowNanos) {
        if (mLeaving && !work.started()) {
            return List.of(refuse(work, ErrorKind.LEAVING));
        }
        if (!work.started() && mQueue.size() >= (long) mQueueLimit * Tier.LOWEST_RANK) {
            return List.of(refuse(work, ErrorKind.OVERLOADED));
        }
        long since = work.started() ? nowNanos : work.arrivedNanos();
        mQueue.put(work.id(), new Queued(work, since));
        return startAndRefuse(nowNanos);
    }

    @Override
    public List<Decision> finished(RequestId id, long nowNanos) {
        Running running = mRunning.remove(id);
        if (running == null) {
            return List.of();
        }
        mRunningOn.merge(running.server(), -1, Integer::sum);
        return startAndRefuse(nowNanos);
    }

    @Override
    public List<Decision> withdraw(RequestId id, long nowNanos) {
        mQueue.remove(id);
        return List.of();
    }

    @Override
    public boolean waits(RequestId id) {
        return mQueue.containsKey(id);
    }

    @Override
    public List<Decision> tick(long nowNanos) {
        return startAndRefuse(nowNanos);
    }

    /**
     * Starts the waiting requests for which a slot is free, and refuses those that must not wait
     * any longer.
     *
     * @param nowNanos the local monotonic time
     * @return the decisions
     */
    private List<Decision> startAndRefuse(long nowNanos) {
        List<Decision> decisions = new ArrayList<>();
        int free = totalFreeSlots();
        Iterator<Queued> queue = mQueue.values().iterator();
        while (queue.hasNext()) {
            Queued queued = queue.next();
            List<ServerView> candidates = free > 0 ? candidates(queued.work()) : List.of();
            if (mLeaving && !queued.work().started()) {
                decisions.add(refuse(queued.work(), ErrorKind.LEAVING));
                queue.remove();
            } else if (!candidates.isEmpty()) {
                decisions.add(start(queued.work(), candidates));
                queue.remove();
                free--;
            } else if (expired(queued, nowNanos)) {
                decisions.add(refuse(queued.work(), ErrorKind.QUEUE_TIMEOUT));
                queue.remove();
            }
        }
        return decisions;
    }

    /**
     * Tells whether a request has waited too long.
     *
     * @param queued the request
     * @param nowNanos the local monotonic time
     * @return true if the wait has reached the limit of its class
     */
    private static boolean expired(Queued queued, long nowNanos) {
        long maxWait = queued.work().requestClass().maxQueueWait().toNanos();
        return nowNanos - queued.sinceNanos() >= maxWait;
    }

    /**
     * Returns the servers that can start a request now.
     *
     * @param work the request
     * @return the servers in the order of the view
     */
    private List<ServerView> candidates(WorkItem work) {
        RequestClass requestClass = work.requestClass();
        List<ServerView> candidates = new ArrayList<>();
        for (ServerView server : mServers.values()) {
            BackendServerId id = server.server().id();
            boolean allowed =
                    requestClass.backendServers().contains(id) && !work.excluded().contains(id);
            boolean serves =
                    work.model().isEmpty() || server.server().models().contains(work.model().get());
            if (allowed && serves && freeSlots(server) > 0) {
                candidates.add(server);
            }
        }
        return candidates;
    }

    /**
     * Starts a request.
     *
     * @param work the request
     * @param candidates the servers with free slots, at least one
     * @return the decision
     */
    private Decision start(WorkItem work, List<ServerView> candidates) {
        ServerView server = mPlacement.choose(candidates, mStarts++);
        BackendServerId id = server.server().id();
        mRunning.put(work.id(), new Running(work.requestClass().tier(), id));
        mRunningOn.merge(id, 1, Integer::sum);
        String reason = "first in, first out, placed by " + mPlacement + " of " + candidates.size();
        return new Decision.Start(work.id(), id, false, reason);
    }

    /**
     * Refuses a request.
     *
     * @param work the request
     * @param kind the kind of refusal
     * @return the decision
     */
    private static Decision refuse(WorkItem work, ErrorKind kind) {
        return new Decision.Refuse(
                work.id(), kind, kind.retryAfterSeconds() * MILLIS_PER_SECOND, kind.message());
    }

    /**
     * Returns the free slots of a server.
     *
     * @param server the server
     * @return the slots not in use, never negative
     */
    private int freeSlots(ServerView server) {
        return Math.max(0, server.slots() - mRunningOn.getOrDefault(server.server().id(), 0));
    }

    /**
     * Returns the free slots of all servers.
     *
     * @return the slots not in use
     */
    private int totalFreeSlots() {
        return mServers.values().stream().mapToInt(this::freeSlots).sum();
    }

    @Override
    public List<TierLoad> pressure(long nowNanos) {
        List<TierLoad> pressure = new ArrayList<>();
        for (int rank = 1; rank <= Tier.LOWEST_RANK; rank++) {
            Tier tier = new Tier(rank);
            List<Queued> queued =
                    mQueue.values().stream()
                            .filter(entry -> entry.work().requestClass().tier().equals(tier))
                            .toList();
            long oldest = queued.stream().mapToLong(Queued::sinceNanos).min().orElse(nowNanos);
            long running =
                    mRunning.values().stream().filter(run -> run.tier().equals(tier)).count();
            long wait = (nowNanos - oldest) / NANOS_PER_MILLI;
            pressure.add(new TierLoad(tier, queued.size(), wait, (int) running));
        }
        return pressure;
    }

    @Override
    public List<ClassFreeSlots> room() {
        return List.of();
    }
}
