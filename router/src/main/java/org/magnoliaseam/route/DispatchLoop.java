package org.magnoliaseam.route;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.Executor;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Consumer;
import java.util.function.LongFunction;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.magnoliaseam.dispatch.Decision;
import org.magnoliaseam.dispatch.Dispatcher;
import org.magnoliaseam.dispatch.WorkItem;
import org.magnoliaseam.fleet.ClassFreeSlots;
import org.magnoliaseam.fleet.FleetView;
import org.magnoliaseam.fleet.TierLoad;
import org.magnoliaseam.model.RequestId;
import org.magnoliaseam.time.MonotonicClock;

/**
 * Serializes calls to the dispatcher with a lock and executes its decisions in order on an
 * executor, so that no decision is executed while the calling thread holds a lock of its own.
 */
public final class DispatchLoop {

    /** The log. */
    private static final Logger LOG = LogManager.getLogger("route");

    /** The dispatcher, guarded by this object's lock. */
    private final Dispatcher mDispatcher;

    /** The clock. */
    private final MonotonicClock mClock;

    /** Runs the decisions, one at a time. */
    private final Executor mExecutor;

    /** The decisions that have not been executed yet. */
    private final ConcurrentLinkedQueue<Decision> mPending = new ConcurrentLinkedQueue<>();

    /** The number of decisions that have not been executed yet. */
    private final AtomicInteger mPendingCount = new AtomicInteger();

    /** Executes a decision. */
    private volatile Consumer<Decision> mHandler = ignored -> {};

    /**
     * Creates a loop.
     *
     * @param dispatcher the dispatcher; nothing else may call it
     * @param clock the clock
     * @param executor runs the decisions
     */
    public DispatchLoop(Dispatcher dispatcher, MonotonicClock clock, Executor executor) {
        mDispatcher = dispatcher;
        mClock = clock;
        mExecutor = executor;
    }

    /**
     * Sets the handler that executes decisions.
     *
     * @param handler executes a decision
     */
    public void handler(Consumer<Decision> handler) {
        mHandler = handler;
    }

    /**
     * Offers a request to the dispatcher.
     *
     * @param work the request
     */
    public void offer(WorkItem work) {
        decide(now -> mDispatcher.offer(work, now));
    }

    /**
     * Frees the slot of a request.
     *
     * @param id the request
     */
    public void finished(RequestId id) {
        decide(now -> mDispatcher.finished(id, now));
    }

    /**
     * Removes a queued request.
     *
     * @param id the request
     */
    public void withdraw(RequestId id) {
        decide(now -> mDispatcher.withdraw(id, now));
    }

    /**
     * Replaces the dispatcher entry of a request that is still queued.
     *
     * @param work the new entry of the request
     */
    public void replace(WorkItem work) {
        decide(
                now -> {
                    if (!mDispatcher.waits(work.id())) {
                        return List.of();
                    }
                    List<Decision> decisions =
                            new ArrayList<>(mDispatcher.withdraw(work.id(), now));
                    decisions.addAll(mDispatcher.offer(work, now));
                    return decisions;
                });
    }

    /**
     * Passes a new snapshot of the fleet to the dispatcher.
     *
     * @param view the snapshot
     */
    public void update(FleetView view) {
        decide(now -> mDispatcher.update(view, now));
    }

    /** Expires queued requests that have waited too long. */
    public void tick() {
        decide(mDispatcher::tick);
    }

    /**
     * Summarizes the load for the peers.
     *
     * @return one entry for each tier
     */
    public synchronized List<TierLoad> pressure() {
        return mDispatcher.pressure(mClock.nanos());
    }

    /**
     * Lists the request classes that have a free slot now.
     *
     * @return one entry for each class with a free slot
     */
    public synchronized List<ClassFreeSlots> room() {
        return mDispatcher.room();
    }

    /**
     * Calls the dispatcher and queues its decisions for execution.
     *
     * @param step calls the dispatcher with the current local monotonic time
     */
    private void decide(LongFunction<List<Decision>> step) {
        int added;
        synchronized (this) {
            List<Decision> decisions = step.apply(mClock.nanos());
            mPending.addAll(decisions);
            added = decisions.size();
        }
        if (added > 0 && mPendingCount.getAndAdd(added) == 0) {
            mExecutor.execute(this::drain);
        }
    }

    /** Executes the pending decisions; one that fails does not keep back those behind it. */
    private void drain() {
        do {
            Decision next = mPending.poll();
            try {
                if (next != null) {
                    mHandler.accept(next);
                }
            } catch (RuntimeException e) {
                LOG.error("route: a decision failed, request={}", next.id(), e);
            }
        } while (mPendingCount.decrementAndGet() > 0);
    }
}
