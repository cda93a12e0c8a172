package org.magnoliaseam.coldstart;

import static org.magnoliaseam.FleetFixtures.list;
import static org.magnoliaseam.FleetFixtures.server;
import static org.magnoliaseam.FleetFixtures.vm;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import org.magnoliaseam.fact.PauseDetector;
import org.magnoliaseam.fleet.LoadReport;
import org.magnoliaseam.fleet.MemberList;
import org.magnoliaseam.fleet.WarmServer;
import org.magnoliaseam.model.StartId;
import org.magnoliaseam.model.VmId;
import org.magnoliaseam.settings.BackendServer;

/**
 * Simulates several entry VMs and one backend server, with VM lists that differ, one-way link
 * failures, a frozen VM, restarts, delayed messages and lagging load reports.
 */
final class ColdFleetModel {

    static final int COLD_LIMIT = 2;
    static final int WARM_LIMIT = 8;
    static final int SHARE = 2;
    static final int VM_COUNT = 7;
    static final long STEP_MILLIS = 20;
    static final long HEARTBEAT_MILLIS = 500;
    static final long REPORT_POLL_MILLIS = 250;
    static final BackendServer SERVER = server(WARM_LIMIT, COLD_LIMIT);

    /** An action that is due at a simulated time; the order breaks ties. */
    private record Event(long atMillis, long order, Runnable action) {}

    private final PriorityQueue<Event> mEvents =
            new PriorityQueue<>(
                    (a, b) ->
                            a.atMillis() != b.atMillis()
                                    ? Long.compare(a.atMillis(), b.atMillis())
                                    : Long.compare(a.order(), b.order()));
    private final Random mRandom;
    private final Vm[] mVms = new Vm[VM_COUNT];
    private final boolean[][] mLinkDown = new boolean[VM_COUNT][VM_COUNT];
    private final List<Integer> mRunningHistory = new ArrayList<>();
    private MemberList mPublished = list(1, 0, 1, 2, 3);
    private long mNow;
    private long mOrder;
    private int mServerRun;
    private int mRunning;
    private boolean mProvedWarm;
    private int mStaleVm = -1;
    private int mMaxRunningCold;
    private int mMaxHolders;
    private boolean mFaultsEnded;

    ColdFleetModel(long seed) {
        mRandom = new Random(seed);
        for (int i = 0; i < VM_COUNT; i++) {
            mVms[i] = new Vm(i);
        }
    }

    /** One entry VM. */
    private final class Vm {
        final int mIndex;
        final PauseDetector mPauses = new PauseDetector(nanos());
        final ColdSenderElection mElection;
        final ColdStartTracker mTracker = new ColdStartTracker(SERVER, nanos());
        final List<Runnable> mInbox = new ArrayList<>();
        long mFrozenUntil;
        long mNextFetch = mNow + mRandom.nextInt(3000);
        long mNextHeartbeat = mNow;
        long mNextPoll = mNow;
        int mConnectionRun = -1;

        Vm(int index) {
            mIndex = index;
            mElection = new ColdSenderElection(vm(index), mPauses);
        }
    }

    int maxRunningCold() {
        return mMaxRunningCold;
    }

    int maxHolders() {
        return mMaxHolders;
    }

    boolean provedWarm() {
        return mProvedWarm;
    }

    /** Ends all faults and restarts the server. */
    void endFaults() {
        mFaultsEnded = true;
        mStaleVm = -1;
        for (boolean[] row : mLinkDown) {
            Arrays.fill(row, false);
        }
        restartServer();
    }

    private long nanos() {
        return TimeUnit.MILLISECONDS.toNanos(mNow);
    }

    private void schedule(long delayMillis, Runnable action) {
        mEvents.add(new Event(mNow + delayMillis, mOrder++, action));
    }

    /**
     * Delivers to a VM: a frozen one handles it after it resumes, and a replaced one never does.
     */
    private void deliver(Vm vm, long delayMillis, Runnable action) {
        schedule(
                delayMillis,
                () -> {
                    if (mNow < vm.mFrozenUntil) {
                        vm.mInbox.add(action);
                    } else if (mVms[vm.mIndex] == vm) {
                        action.run();
                    }
                });
    }

    void run(long millis) {
        long end = mNow + millis;
        for (; mNow < end; mNow += STEP_MILLIS) {
            while (!mEvents.isEmpty() && mEvents.peek().atMillis() <= mNow) {
                mEvents.poll().action().run();
            }
            mRunningHistory.add(mRunning);
            if (!mFaultsEnded) {
                injectFaults();
            }
            for (Vm vm : mVms.clone()) {
                if (mNow >= vm.mFrozenUntil) {
                    step(vm);
                }
            }
        }
    }

    private boolean oneIn(int steps) {
        return mRandom.nextInt(steps) == 0;
    }

    private void injectFaults() {
        if (oneIn(400)) {
            publish();
        }
        if (oneIn(400)) {
            mLinkDown[mRandom.nextInt(VM_COUNT)][mRandom.nextInt(VM_COUNT)] = true;
        }
        if (oneIn(600)) {
            for (boolean[] row : mLinkDown) {
                Arrays.fill(row, false);
            }
        }
        if (oneIn(500)) {
            mVms[mRandom.nextInt(VM_COUNT)].mFrozenUntil = mNow + mRandom.nextInt(6000);
        }
        if (oneIn(1000)) {
            mStaleVm = mRandom.nextInt(VM_COUNT + 1) - 1;
        }
        if (oneIn(1500)) {
            int index = mRandom.nextInt(VM_COUNT);
            mVms[index] = new Vm(index);
        }
        if (oneIn(mProvedWarm ? 50 : 1500)) {
            restartServer();
        }
    }

    /** Publishes a list in which one VM of the previous list is replaced, added or removed. */
    private void publish() {
        List<Integer> live = new ArrayList<>();
        List<Integer> others = new ArrayList<>();
        for (int i = 0; i < VM_COUNT; i++) {
            VmId vm = vm(i);
            boolean listed = mPublished.members().stream().anyMatch(m -> m.vm().equals(vm));
            (listed ? live : others).add(i);
        }
        if (live.size() > 3 && mRandom.nextBoolean()) {
            live.remove(mRandom.nextInt(live.size()));
        }
        live.add(others.get(mRandom.nextInt(others.size())));
        if (live.size() > 5) {
            live.remove(0);
        }
        int[] indexes = live.stream().sorted().mapToInt(Integer::intValue).toArray();
        mPublished = list(mPublished.version() + 1, indexes);
    }

    private void restartServer() {
        mServerRun++;
        mRunning = 0;
        mProvedWarm = false;
        mRunningHistory.clear();
        mRunningHistory.add(0);
    }

    private void step(Vm vm) {
        boolean decidesBeforeTick = oneIn(2);
        if (decidesBeforeTick) {
            send(vm);
        }
        vm.mPauses.tick(nanos());
        List<Runnable> inbox = List.copyOf(vm.mInbox);
        vm.mInbox.clear();
        inbox.forEach(Runnable::run);
        if (mNow >= vm.mNextFetch && mStaleVm != vm.mIndex) {
            vm.mElection.update(mPublished, nanos());
            vm.mNextFetch = mNow + mRandom.nextInt(3000);
        }
        if (mNow >= vm.mNextHeartbeat) {
            vm.mNextHeartbeat = mNow + HEARTBEAT_MILLIS;
            heartbeat(vm);
        }
        if (mNow >= vm.mNextPoll) {
            vm.mNextPoll = mNow + REPORT_POLL_MILLIS;
            poll(vm);
        }
        send(vm);
    }

    private void heartbeat(Vm from) {
        long version = from.mElection.listVersion();
        Optional<WarmServer> claim = from.mTracker.claim(WARM_LIMIT);
        for (Vm to : mVms) {
            if (to == from || mLinkDown[from.mIndex][to.mIndex]) {
                continue;
            }
            deliver(
                    to,
                    mRandom.nextInt((int) ColdSenderElection.PEER_DELAY_MILLIS),
                    () -> {
                        to.mElection.heard(vm(from.mIndex), version, nanos());
                        claim.ifPresent(warm -> to.mTracker.peerSaysWarm(warm, nanos()));
                    });
        }
    }

    private void poll(Vm vm) {
        int steps = (int) (mRandom.nextInt((int) PeerLoadBound.REPORT_LAG_MILLIS) / STEP_MILLIS);
        int shown = mRunningHistory.get(Math.max(0, mRunningHistory.size() - 1 - steps));
        int run = mServerRun;
        deliver(
                vm,
                0,
                () -> {
                    vm.mConnectionRun = run;
                    StartId startId = new StartId("run-" + run);
                    vm.mTracker.report(new LoadReport(startId, shown, 0, false, nanos()));
                });
    }

    private void send(Vm vm) {
        ColdSendRight right = vm.mElection.right(SERVER, nanos());
        countHolders(right);
        SlotDecision decision = vm.mTracker.decide(right, SHARE, nanos());
        if (!decision.cold() && vm.mConnectionRun == mServerRun && !mProvedWarm) {
            mProvedWarm = true;
        }
        while (vm.mTracker.maySend(right, SHARE, nanos())) {
            vm.mTracker.started(nanos());
            int run = vm.mConnectionRun;
            schedule(
                    mRandom.nextInt((int) ColdSenderElection.SEND_DELAY_MILLIS),
                    () -> arrive(vm, run));
        }
    }

    /** Counts the entry VMs that hold the right at the time when one uses it. */
    private void countHolders(ColdSendRight used) {
        if (used.held()) {
            long holders =
                    Arrays.stream(mVms)
                            .filter(vm -> mNow >= vm.mFrozenUntil)
                            .filter(vm -> vm.mElection.right(SERVER, nanos()).held())
                            .count();
            mMaxHolders = Math.max(mMaxHolders, (int) holders);
        }
    }

    private void arrive(Vm vm, int run) {
        if (run != mServerRun) {
            deliver(vm, mRandom.nextInt(300), () -> failAndReset(vm));
            return;
        }
        mRunning++;
        if (!mProvedWarm) {
            mMaxRunningCold = Math.max(mMaxRunningCold, mRunning);
        }
        boolean cancelled = !mFaultsEnded && oneIn(6);
        long length = 100 + mRandom.nextInt(2500);
        schedule(length, () -> finish(vm, run, cancelled));
        if (cancelled) {
            deliver(vm, mRandom.nextInt((int) length), () -> cancel(vm));
        }
    }

    private void finish(Vm vm, int run, boolean cancelled) {
        if (run == mServerRun) {
            mRunning--;
        }
        if (cancelled) {
            return;
        }
        StartId startId = new StartId("run-" + run);
        boolean successful = run == mServerRun && (mFaultsEnded || !oneIn(10));
        deliver(
                vm,
                mRandom.nextInt(300),
                () -> {
                    if (successful) {
                        vm.mTracker.completed(startId, 200, nanos());
                    } else {
                        vm.mTracker.failed(SHARE, nanos());
                    }
                });
    }

    private void cancel(Vm vm) {
        vm.mTracker.cancelled(nanos());
    }

    private void failAndReset(Vm vm) {
        vm.mTracker.failed(SHARE, nanos());
        vm.mTracker.reset(nanos());
    }
}
