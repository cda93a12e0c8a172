package org.magnoliaseam.dispatch;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Set;
import org.magnoliaseam.model.BackendServerId;
import org.magnoliaseam.model.RequestId;
import org.magnoliaseam.model.Tier;

/**
 * Holds all waiting requests in queues by tier, with the times of the next stages of their wait.
 */
final class RequestQueues {

    /** The number of requests in a queue that are never dropped in favour of a higher tier. */
    private static final int MIN_KEPT_REQUESTS = 8;

    /** The excess of timers over twice the waiting requests above which stale ones are removed. */
    private static final int MAX_STALE_TIMERS = 64;

    /** The queues of each tier, by rank. */
    private final List<Map<QueueKey, ClassQueue>> mTiers = new ArrayList<>();

    /** The number of waiting requests of each tier, by rank. */
    private final int[] mSizes = new int[Tier.LOWEST_RANK + 1];

    /** The waiting requests by identifier. */
    private final Map<RequestId, WaitingRequest> mWaiting = new HashMap<>();

    /** The requests by the time of their next stage; some may no longer wait. */
    private final PriorityQueue<WaitingRequest> mTimers =
            new PriorityQueue<>(WaitingRequest::compareStages);

    /**
     * Identifies a queue within its tier.
     *
     * @param candidates the servers that may run the requests, before exclusions
     * @param excluded the servers that the requests must not be sent to
     */
    private record QueueKey(CandidateSet candidates, Set<BackendServerId> excluded) {}

    /** Creates empty queues. */
    RequestQueues() {
        for (int rank = 0; rank <= Tier.LOWEST_RANK; rank++) {
            mTiers.add(new HashMap<>());
        }
    }

    /**
     * Returns the queue in which a request waits.
     *
     * @param candidates the servers that may run the request, before exclusions
     * @param excluded the servers that the request must not be sent to
     * @return the queue, created if it does not exist
     */
    ClassQueue queue(CandidateSet candidates, Set<BackendServerId> excluded) {
        Map<QueueKey, ClassQueue> queues = mTiers.get(candidates.tier().rank());
        QueueKey key = new QueueKey(candidates, excluded);
        ClassQueue queue = queues.get(key);
        if (queue == null) {
            queue = new ClassQueue(candidates, excluded);
            queues.put(key, queue);
        }
        return queue;
    }

    /**
     * Adds a request to its queue.
     *
     * @param request the request
     * @param nowNanos the local monotonic time
     */
    void add(WaitingRequest request, long nowNanos) {
        if (mWaiting.putIfAbsent(request.id(), request) != null) {
            throw new IllegalStateException("request is already waiting");
        }
        request.queue().add(request);
        mSizes[request.tier().rank()]++;
        request.queue().candidates().share().added(nowNanos);
    }

    /**
     * Removes a request from its queue.
     *
     * @param request a waiting request
     */
    void remove(WaitingRequest request) {
        request.queue().remove(request);
        countRemoved(request);
    }

    /**
     * Removes the next request of its queue when it is started.
     *
     * @param request the next request of its queue
     */
    void poll(WaitingRequest request) {
        request.queue().poll(request);
        countRemoved(request);
    }

    /**
     * Updates the counts and releases the reserved slot after a request has left its queue.
     *
     * @param request the request
     */
    private void countRemoved(WaitingRequest request) {
        mWaiting.remove(request.id());
        mSizes[request.tier().rank()]--;
        request.queue().candidates().share().removed();
        request.reservedOn().ifPresent(server -> server.release(request));
    }

    /**
     * Tells whether requests wait for the servers of a set.
     *
     * @param candidates the set
     * @return true if a queue of the set holds requests
     */
    boolean inUse(CandidateSet candidates) {
        return mTiers.stream()
                .flatMap(queues -> queues.values().stream())
                .anyMatch(queue -> queue.candidates() == candidates && queue.size() > 0);
    }

    /** Groups the queues by the tiers in the current configuration and drops the empty ones. */
    void regroup() {
        List<ClassQueue> used = new ArrayList<>();
        for (Map<QueueKey, ClassQueue> queues : mTiers) {
            queues.values().stream().filter(queue -> queue.size() > 0).forEach(used::add);
            queues.clear();
        }
        Arrays.fill(mSizes, 0);
        for (ClassQueue queue : used) {
            int rank = queue.tier().rank();
            mTiers.get(rank).put(new QueueKey(queue.candidates(), queue.excluded()), queue);
            mSizes[rank] += queue.size();
        }
    }

    /**
     * Returns a waiting request.
     *
     * @param id the identifier
     * @return the request, or null if it does not wait
     */
    WaitingRequest waiting(RequestId id) {
        return mWaiting.get(id);
    }

    /**
     * Returns all waiting requests.
     *
     * @return a copy, which does not change when requests leave
     */
    List<WaitingRequest> all() {
        return new ArrayList<>(mWaiting.values());
    }

    /**
     * Returns the queues of a tier.
     *
     * @param rank the rank of the tier
     * @return the queues, some of which may be empty
     */
    Collection<ClassQueue> queues(int rank) {
        return mTiers.get(rank).values();
    }

    /**
     * Returns the number of waiting requests of a tier.
     *
     * @param rank the rank of the tier
     * @return the count
     */
    int size(int rank) {
        return mSizes[rank];
    }

    /**
     * Returns the next request in normal order, which is by tier and then by deadline.
     *
     * @return the request, or null if none can be started
     */
    WaitingRequest next() {
        for (int rank = 1; rank <= Tier.LOWEST_RANK; rank++) {
            WaitingRequest next = mSizes[rank] == 0 ? null : next(rank);
            if (next != null) {
                return next;
            }
        }
        return null;
    }

    /**
     * Returns the next request of a tier by deadline.
     *
     * @param rank the rank of the tier
     * @return the request, or null if none can be started
     */
    private WaitingRequest next(int rank) {
        WaitingRequest next = null;
        for (ClassQueue queue : queues(rank)) {
            if (queue.open()) {
                next = first(next, queue.peek());
            }
        }
        return next;
    }

    /**
     * Returns the one of two requests of a tier that is started first.
     *
     * @param one a request or null
     * @param other a request
     * @return the one that is started first
     */
    static WaitingRequest first(WaitingRequest one, WaitingRequest other) {
        return one == null || other.precedes(one) ? other : one;
    }

    /**
     * Adds a request to the timers.
     *
     * @param request a waiting request
     */
    void schedule(WaitingRequest request) {
        if (mTimers.size() > 2 * mWaiting.size() + MAX_STALE_TIMERS) {
            mTimers.removeIf(entry -> !entry.waiting());
        }
        mTimers.add(request);
    }

    /**
     * Removes the first request whose next stage has begun.
     *
     * @param nowNanos the local monotonic time
     * @return the request, or null if no stage has begun
     */
    WaitingRequest pollDue(long nowNanos) {
        while (!mTimers.isEmpty() && mTimers.peek().nextStageNanos() <= nowNanos) {
            WaitingRequest request = mTimers.poll();
            if (request.waiting()) {
                return request;
            }
        }
        return null;
    }

    /**
     * Tells whether the queues of a tier can't hold another request.
     *
     * @param tier the tier
     * @param limit the queue limit per tier, in requests
     * @return true if the tier or all tiers together have reached their limit
     */
    boolean full(Tier tier, int limit) {
        return mSizes[tier.rank()] >= limit || mWaiting.size() >= (long) limit * Tier.LOWEST_RANK;
    }

    /**
     * Returns the request to drop to make room for one of a higher tier.
     *
     * @param tier the higher tier
     * @return a request of the lowest possible tier, or null if no lower tier has one to drop
     */
    WaitingRequest firstToDropBelow(Tier tier) {
        for (int rank = Tier.LOWEST_RANK; rank > tier.rank(); rank--) {
            for (ClassQueue queue : queues(rank)) {
                WaitingRequest drop = queue.size() > MIN_KEPT_REQUESTS ? queue.firstToDrop() : null;
                if (drop != null && !drop.work().started()) {
                    return drop;
                }
            }
        }
        return null;
    }
}
