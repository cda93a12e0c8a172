package org.magnoliaseam.dispatch;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Map;
import org.magnoliaseam.model.RequestId;
import org.magnoliaseam.model.Tier;

/** Holds the requests that use slots of backend servers. */
final class RunningTable {

    /** The time for which a granted start is not preempted, in nanoseconds. */
    static final long GRANT_PROTECTION_NANOS = Duration.ofSeconds(10).toNanos();

    /** The number of requests over which the service time is smoothed. */
    private static final int SMOOTHING_REQUESTS = 16;

    /** The running requests by identifier. */
    private final Map<RequestId, RunningRequest> mRunning = new HashMap<>();

    /** The granted starts that may still be protected from preemption, the oldest first. */
    private final ArrayDeque<RunningRequest> mProtected = new ArrayDeque<>();

    /** The number of running requests of each tier, by rank. */
    private final int[] mCounts = new int[Tier.LOWEST_RANK + 1];

    /** The smoothed service time of each tier, by rank, in nanoseconds; 0 if unknown. */
    private final long[] mMeanServiceNanos = new long[Tier.LOWEST_RANK + 1];

    /** The number of starts so far. */
    private long mStarts;

    /**
     * Adds a started request, which takes a slot of its server.
     *
     * @param request the request
     * @param server the server
     * @param granted whether the start uses the guaranteed share of the class
     * @param nowNanos the local monotonic time
     */
    void start(WaitingRequest request, ServerState server, boolean granted, long nowNanos) {
        long protectedUntil = granted ? nowNanos + GRANT_PROTECTION_NANOS : nowNanos;
        RunningRequest running =
                new RunningRequest(
                        request.work(),
                        request.tier(),
                        server,
                        ++mStarts,
                        nowNanos,
                        protectedUntil);
        if (mRunning.putIfAbsent(running.id(), running) != null) {
            throw new IllegalStateException("request is already running");
        }
        mCounts[running.tier().rank()]++;
        server.started(granted);
        if (granted) {
            mProtected.addLast(running);
        } else if (running.preemptible()) {
            server.addPreemptible(running);
        }
        server.countStart(request.queue().candidates(), nowNanos);
        server.reposition();
    }

    /**
     * Removes a running request and frees its slot.
     *
     * @param id the request
     * @param nowNanos the local monotonic time
     * @return the request, or null if it does not run
     */
    RunningRequest finish(RequestId id, long nowNanos) {
        RunningRequest running = mRunning.remove(id);
        if (running == null) {
            return null;
        }
        mCounts[running.tier().rank()]--;
        ServerState server = running.server();
        server.removePreemptible(running);
        server.finished();
        server.reposition();
        if (running.beneficiary().isEmpty()) {
            measureService(running.tier().rank(), nowNanos - running.startedNanos());
        }
        return running;
    }

    /**
     * Updates the smoothed service time of a tier.
     *
     * @param rank the rank of the tier
     * @param nanos the service time of one request
     */
    private void measureService(int rank, long nanos) {
        long mean = mMeanServiceNanos[rank];
        mMeanServiceNanos[rank] = mean == 0 ? nanos : mean + (nanos - mean) / SMOOTHING_REQUESTS;
    }

    /**
     * Returns the smoothed time from the start to the end of a request.
     *
     * @param tier the tier of the request
     * @return the time in nanoseconds; 0 if unknown
     */
    long meanServiceNanos(Tier tier) {
        return mMeanServiceNanos[tier.rank()];
    }

    /**
     * Ends the protection of granted starts whose time has come, which makes them preemptible.
     *
     * @param nowNanos the local monotonic time
     */
    void endProtection(long nowNanos) {
        while (!mProtected.isEmpty() && mProtected.peek().protectedUntilNanos() <= nowNanos) {
            RunningRequest running = mProtected.poll();
            if (mRunning.get(running.id()) == running && running.preemptible()) {
                running.server().addPreemptible(running);
            }
        }
    }

    /**
     * Returns the number of running requests of a tier.
     *
     * @param rank the rank of the tier
     * @return the count
     */
    int count(int rank) {
        return mCounts[rank];
    }

    /**
     * Tells whether a request is running.
     *
     * @param id the request
     * @return true if it uses a slot
     */
    boolean contains(RequestId id) {
        return mRunning.containsKey(id);
    }
}
