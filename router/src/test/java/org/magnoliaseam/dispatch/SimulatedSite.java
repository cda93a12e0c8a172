package org.magnoliaseam.dispatch;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import org.magnoliaseam.error.ErrorKind;
import org.magnoliaseam.fleet.LoadReport;
import org.magnoliaseam.fleet.PeerView;
import org.magnoliaseam.fleet.ServerView;
import org.magnoliaseam.model.BackendServerId;
import org.magnoliaseam.model.RequestId;
import org.magnoliaseam.model.StartId;
import org.magnoliaseam.model.VmId;

/**
 * Runs dispatchers against simulated servers with slots and service times in one deterministic
 * event loop, and records violations of the dispatch rules.
 */
final class SimulatedSite {

    static final long MILLI = FleetBuilder.MILLI;
    static final long TICK_INTERVAL_NANOS = 5 * MILLI;
    static final long HEARTBEAT_INTERVAL_NANOS = 500 * MILLI;
    static final long NETWORK_DELAY_NANOS = 2 * MILLI;
    static final long CANCEL_DELAY_NANOS = 20 * MILLI;
    static final long REPORT_INTERVAL_NANOS = 500 * MILLI;
    static final long REPORT_DELAY_NANOS = 300 * MILLI;

    final List<SimulatedEntry> mEntries = new ArrayList<>();
    final Map<RequestId, SimulatedRequest> mRequests = new LinkedHashMap<>();
    final List<String> mViolations = new ArrayList<>();
    final List<SimulatedRequest> mStarts = new ArrayList<>();
    int mHigherRefusedWhileLowerRan;
    int mHandedOver;
    int mPreempted;
    final Map<BackendServerId, Double> mSlowdowns = new HashMap<>();

    private record Event(long nanos, long order, Runnable action) {}

    private final PriorityQueue<Event> mEvents =
            new PriorityQueue<>(
                    (one, other) ->
                            one.nanos() == other.nanos()
                                    ? Long.compare(one.order(), other.order())
                                    : Long.compare(one.nanos(), other.nanos()));
    private long mOrder;
    private long mNow;

    SimulatedEntry entry(String name, Dispatcher dispatcher, FleetBuilder fleet) {
        SimulatedEntry entry = new SimulatedEntry(name, dispatcher, fleet);
        mEntries.add(entry);
        at(0, () -> refresh(entry));
        every(TICK_INTERVAL_NANOS, () -> apply(entry, dispatcher.tick(mNow)));
        return entry;
    }

    void startHeartbeats() {
        every(HEARTBEAT_INTERVAL_NANOS, () -> mEntries.forEach(this::sendHeartbeat));
    }

    /** Makes the servers report their load and speed periodically, with a delay. */
    void startLoadReports() {
        every(
                REPORT_INTERVAL_NANOS,
                () -> {
                    long measured = mNow;
                    Map<BackendServerId, Integer> running = new HashMap<>();
                    mEntries.forEach(
                            entry ->
                                    entry.mRunning.forEach(
                                            (id, count) -> running.merge(id, count, Integer::sum)));
                    at(measured + REPORT_DELAY_NANOS, () -> report(running));
                });
    }

    private void report(Map<BackendServerId, Integer> running) {
        for (SimulatedEntry entry : mEntries) {
            for (ServerView old : entry.view().servers().values()) {
                BackendServerId id = old.server().id();
                int count = running.getOrDefault(id, 0);
                LoadReport report = new LoadReport(new StartId("s"), count, 0, false, mNow);
                double tokenMillis = 20 * mSlowdowns.getOrDefault(id, 1.0);
                entry.mFleet.view(
                        new ServerView(
                                old.server(),
                                old.slots(),
                                old.cold(),
                                old.slotsReason(),
                                Optional.of(report),
                                old.firstTokenMillis(),
                                tokenMillis));
            }
            refresh(entry);
        }
    }

    private void sendHeartbeat(SimulatedEntry from) {
        PeerView peerView =
                from.mFleet.peerView(
                        from.mName,
                        from.mDispatcher.room(),
                        mNow + NETWORK_DELAY_NANOS,
                        from.mDispatcher.pressure(mNow));
        for (SimulatedEntry to : mEntries) {
            if (to != from) {
                at(
                        mNow + NETWORK_DELAY_NANOS,
                        () -> {
                            to.mPeers.put(new VmId(from.mName), peerView);
                            refresh(to);
                        });
            }
        }
    }

    void refresh(SimulatedEntry entry) {
        apply(entry, entry.mDispatcher.update(entry.view(), mNow));
    }

    void arrive(SimulatedEntry entry, WorkItem work, long serviceNanos) {
        at(
                work.arrivedNanos(),
                () -> {
                    SimulatedRequest request = new SimulatedRequest(work, entry, serviceNanos);
                    mRequests.put(work.id(), request);
                    offer(request);
                });
    }

    void withdraw(RequestId id, long nanos) {
        at(
                nanos,
                () -> {
                    SimulatedRequest request = mRequests.get(id);
                    if (request.mState == SimulatedRequest.State.WAITING) {
                        request.mState = SimulatedRequest.State.WITHDRAWN;
                        apply(request.mEntry, request.mEntry.mDispatcher.withdraw(id, mNow));
                    }
                });
    }

    private void offer(SimulatedRequest request) {
        request.mState = SimulatedRequest.State.WAITING;
        request.mSinceNanos = mNow;
        apply(request.mEntry, request.mEntry.mDispatcher.offer(request.mWork, mNow));
    }

    void at(long nanos, Runnable action) {
        mEvents.add(new Event(nanos, mOrder++, action));
    }

    private void every(long nanos, Runnable action) {
        at(
                mNow + nanos,
                () -> {
                    action.run();
                    every(nanos, action);
                });
    }

    void run(long untilNanos) {
        while (mEvents.peek().nanos() <= untilNanos) {
            Event event = mEvents.poll();
            mNow = event.nanos();
            event.action().run();
        }
    }

    private void apply(SimulatedEntry entry, List<Decision> decisions) {
        for (Decision decision : decisions) {
            SimulatedRequest request = mRequests.get(decision.id());
            if (decision instanceof Decision.Start start) {
                start(entry, request, start);
            } else if (decision instanceof Decision.Preempt preempt) {
                preempt(request, mRequests.get(preempt.beneficiary()));
            } else if (decision instanceof Decision.HandOver handOver) {
                leaveQueue(request, SimulatedRequest.State.IN_TRANSIT);
                handOver(request, handOver);
            } else if (decision instanceof Decision.Refuse refuse) {
                countRefusal(request, refuse.kind());
                leaveQueue(request, SimulatedRequest.State.REFUSED);
            }
        }
    }

    private void leaveQueue(SimulatedRequest request, SimulatedRequest.State state) {
        check(request.mState == SimulatedRequest.State.WAITING, "decision without wait", request);
        request.mState = state;
    }

    private void start(SimulatedEntry entry, SimulatedRequest request, Decision.Start start) {
        leaveQueue(request, SimulatedRequest.State.RUNNING);
        check(request.mayUse(start.server()), "server not allowed", request);
        int running = entry.mRunning.merge(start.server(), 1, Integer::sum);
        check(running <= entry.slots(start.server()), "slots exceeded", request);
        boolean inOrder = start.granted() || !higherWaits(entry, request, start);
        check(inOrder, "higher tier waits", request);
        request.mServer = start.server();
        request.mGranted = start.granted();
        request.mStartedNanos = mNow;
        request.mFirstStartNanos = request.mFirstStartNanos < 0 ? mNow : request.mFirstStartNanos;
        mStarts.add(request);
        long startedNanos = mNow;
        double slowdown = mSlowdowns.getOrDefault(start.server(), 1.0);
        at(
                mNow + (long) (request.mRemainingNanos * slowdown),
                () -> {
                    boolean same = request.mState == SimulatedRequest.State.RUNNING;
                    if (same && request.mStartedNanos == startedNanos) {
                        end(request, SimulatedRequest.State.FINISHED);
                    }
                });
    }

    private boolean higherWaits(
            SimulatedEntry entry, SimulatedRequest started, Decision.Start start) {
        return mRequests.values().stream()
                .anyMatch(
                        other ->
                                other.mState == SimulatedRequest.State.WAITING
                                        && other.mEntry == entry
                                        && other.tier().outranks(started.tier())
                                        && other.mayUse(start.server()));
    }

    private void end(SimulatedRequest request, SimulatedRequest.State state) {
        request.mState = state;
        request.mEndedNanos = mNow;
        request.mBeneficiary = "";
        SimulatedEntry entry = request.mEntry;
        entry.mRunning.merge(request.mServer, -1, Integer::sum);
        apply(entry, entry.mDispatcher.finished(request.mWork.id(), mNow));
    }

    private void preempt(SimulatedRequest victim, SimulatedRequest beneficiary) {
        mPreempted++;
        check(victim.mState == SimulatedRequest.State.RUNNING, "victim not running", victim);
        check(beneficiary.tier().outranks(victim.tier()), "victim not of a lower tier", victim);
        check(victim.mWork.resumable(), "victim not resumable", victim);
        check(victim.mWork.requestClass().idempotent(), "victim not idempotent", victim);
        boolean isProtected =
                victim.mGranted
                        && mNow - victim.mStartedNanos < RunningTable.GRANT_PROTECTION_NANOS;
        check(!isProtected, "victim protected", victim);
        String name = beneficiary.mWork.id().value();
        check(
                mRequests.values().stream().noneMatch(other -> other.mBeneficiary.equals(name)),
                "second victim for one request",
                beneficiary);
        victim.mBeneficiary = name;
        long startedNanos = victim.mStartedNanos;
        at(
                mNow + CANCEL_DELAY_NANOS,
                () -> {
                    boolean same = victim.mState == SimulatedRequest.State.RUNNING;
                    if (same && victim.mStartedNanos == startedNanos) {
                        victim.mRemainingNanos -= mNow - startedNanos;
                        end(victim, SimulatedRequest.State.IN_TRANSIT);
                        victim.mWork = FleetBuilder.withState(victim.mWork, true, true, false);
                        offer(victim);
                    }
                });
    }

    private void handOver(SimulatedRequest request, Decision.HandOver handOver) {
        mHandedOver++;
        check(!request.mWork.handedOver(), "handed over twice", request);
        request.mWork =
                FleetBuilder.withState(request.mWork, false, request.mWork.resumable(), true);
        request.mEntry =
                mEntries.stream()
                        .filter(entry -> entry.mName.equals(handOver.peer().value()))
                        .findFirst()
                        .orElseThrow();
        at(mNow + NETWORK_DELAY_NANOS, () -> offer(request));
    }

    private void countRefusal(SimulatedRequest refused, ErrorKind kind) {
        if (kind != ErrorKind.OVERLOADED && kind != ErrorKind.QUEUE_TIMEOUT) {
            return;
        }
        boolean lowerRuns =
                mRequests.values().stream()
                        .anyMatch(
                                other ->
                                        other.mState == SimulatedRequest.State.RUNNING
                                                && !other.mGranted
                                                && refused.tier().outranks(other.tier())
                                                && refused.mayUse(other.mServer));
        mHigherRefusedWhileLowerRan += lowerRuns ? 1 : 0;
    }

    private void check(boolean satisfied, String rule, SimulatedRequest request) {
        if (!satisfied) {
            mViolations.add(rule + ": " + request.mWork.id() + " at " + mNow / MILLI + " ms");
        }
    }
}
