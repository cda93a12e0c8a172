package org.magnoliaseam.dispatch;

import java.util.ArrayDeque;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;
import org.magnoliaseam.fleet.FleetView;
import org.magnoliaseam.model.ClientAccountId;
import org.magnoliaseam.model.RequestId;
import org.magnoliaseam.settings.DispatchPolicy;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Fork;
import org.openjdk.jmh.annotations.Level;
import org.openjdk.jmh.annotations.Measurement;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Param;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.Setup;
import org.openjdk.jmh.annotations.State;
import org.openjdk.jmh.annotations.Warmup;

/**
 * Measures the decisions for one arrival and one end of a request while all slots are in use, so
 * that a waiting request is started on the freed slot. Requests that expire meanwhile are replaced.
 */
@State(Scope.Benchmark)
@BenchmarkMode(Mode.SampleTime)
@OutputTimeUnit(TimeUnit.MICROSECONDS)
@Fork(value = 1, jvmArgsAppend = "-Xmx256m")
@Warmup(iterations = 3, time = 500, timeUnit = TimeUnit.MILLISECONDS)
@Measurement(iterations = 5, time = 500, timeUnit = TimeUnit.MILLISECONDS)
public class DispatchBenchmark {

    private static final int SLOTS_OF_SERVER = 4;
    private static final String[] CLASSES = {"quay", "chat", "review"};

    /** The number of waiting requests. */
    @Param({"100", "10000"})
    public int mQueued;

    /** The number of backend servers. */
    @Param({"6", "650"})
    public int mServers;

    /** The number of client accounts. */
    @Param({"10", "370"})
    public int mAccounts;

    /** The simulated time per iteration; with the longer one, waiting requests expire. */
    @Param({"20", "1000"})
    public int mStepMicros;

    private final ArrayDeque<RequestId> mRunning = new ArrayDeque<>();
    private final ArrayDeque<RequestId> mFreeIds = new ArrayDeque<>();
    private Dispatcher mDispatcher;
    private FleetView mView;
    private ClientAccountId[] mAccountIds;
    private WorkItem[] mTemplates;
    private int mNext;
    private int mWaiting;
    private long mNow;

    @Setup(Level.Trial)
    public void fill() {
        String[] servers =
                IntStream.range(0, mServers).mapToObj(i -> "e-" + i).toArray(String[]::new);
        FleetBuilder fleet = new FleetBuilder();
        for (int i = 0; i < CLASSES.length; i++) {
            fleet.requestClass(CLASSES[i], i + 1, 0.02 * i, servers);
        }
        for (String server : servers) {
            fleet.server(server, SLOTS_OF_SERVER);
        }
        int ids = mQueued + mServers * SLOTS_OF_SERVER + 10;
        IntStream.range(0, ids).forEach(i -> mFreeIds.addLast(new RequestId("r" + i)));
        mAccountIds =
                IntStream.range(0, mAccounts)
                        .mapToObj(i -> new ClientAccountId("a" + i))
                        .toArray(ClientAccountId[]::new);
        mTemplates = new WorkItem[CLASSES.length];
        for (int i = 0; i < CLASSES.length; i++) {
            mTemplates[i] = fleet.work("t", CLASSES[i], "x", 0);
        }
        mDispatcher = Dispatchers.create(DispatchPolicy.TIERED, 1);
        mView = fleet.build();
        mDispatcher.update(mView, 0);
        while (mWaiting < mQueued) {
            offer();
        }
    }

    private void offer() {
        int number = mNext++;
        WorkItem template = mTemplates[number % mTemplates.length];
        WorkItem work =
                new WorkItem(
                        mFreeIds.pollFirst(),
                        template.requestClass(),
                        mAccountIds[number % 7 == 0 ? number % mAccountIds.length : 0],
                        template.model(),
                        number % 1000,
                        mNow,
                        template.excluded(),
                        false,
                        0,
                        false,
                        false);
        mWaiting++;
        count(mDispatcher.offer(work, mNow));
    }

    private void count(List<Decision> decisions) {
        for (int i = 0; i < decisions.size(); i++) {
            Decision decision = decisions.get(i);
            mWaiting--;
            if (decision instanceof Decision.Start) {
                mRunning.addLast(decision.id());
            } else {
                mFreeIds.addLast(decision.id());
            }
        }
    }

    @Benchmark
    public int decide() {
        mNow += mStepMicros * 1000L;
        offer();
        RequestId finished = mRunning.pollFirst();
        mFreeIds.addLast(finished);
        count(mDispatcher.finished(finished, mNow));
        while (mWaiting < mQueued) {
            offer();
        }
        return mWaiting;
    }

    @Benchmark
    public int updateView() {
        return mDispatcher.update(mView, mNow).size();
    }
}
