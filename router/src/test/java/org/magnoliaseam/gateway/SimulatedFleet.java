package org.magnoliaseam.gateway;

import com.codahale.metrics.MetricRegistry;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import org.apache.logging.log4j.Level;
import org.apache.logging.log4j.core.config.Configurator;
import org.magnoliaseam.backend.BackendFailure;
import org.magnoliaseam.exchange.AnswerHead;
import org.magnoliaseam.exchange.Cancellation;
import org.magnoliaseam.gossip.Digest;
import org.magnoliaseam.gossip.PeerEndpoint;
import org.magnoliaseam.permit.EnginePermits;
import org.magnoliaseam.permit.PermitMessage;
import org.magnoliaseam.rollout.Revision;

/**
 * Plays requests in simulated time: gateways that exchange digests, and engines that process the
 * prompts that they have admitted in order of arrival.
 */
final class SimulatedFleet {

    /** The time of one event of a stream. */
    private static final long EVENT_NANOS = 20 * GatewayFixtures.MILLI;

    /** The time for which an engine is down after a crash. */
    private static final long DOWN_NANOS = 3_000 * GatewayFixtures.MILLI;

    /** The interval of digests. */
    private static final long DIGEST_NANOS = 500 * GatewayFixtures.MILLI;

    /** The time of a message between two entry VMs. */
    private static final long HOP_NANOS = GatewayFixtures.MILLI;

    /** The interval of the periodic checks of requests. */
    private static final long TICK_NANOS = 20 * GatewayFixtures.MILLI;

    /** The prompt tokens that an engine processes in a millisecond. */
    private static final double TOKENS_PER_MILLI = 40;

    private final PriorityQueue<Event> mEvents =
            new PriorityQueue<>(
                    (a, b) ->
                            a.mNanos != b.mNanos
                                    ? Long.compare(a.mNanos, b.mNanos)
                                    : Long.compare(a.mNumber, b.mNumber));

    private final Map<String, Engine> mEngines = new HashMap<>();

    private final List<ServerPool> mPools = new ArrayList<>();

    private final List<Gateway> mGateways = new ArrayList<>();

    private final Random mRandom;

    private final Map<PeerEndpoint, EnginePermits> mPermits = new HashMap<>();

    private final Map<String, SimulatedOutcome> mOutcomes = new HashMap<>();

    /** The parts that crash engines, with the events before the crash. */
    private final Map<String, Integer> mCrashingParts = new HashMap<>();

    private final List<Long> mCrashes = new ArrayList<>();

    private final List<SimulatedPushback> mPushbacks = new ArrayList<>();

    private final int mLimit;

    private int mQuestions;

    private double mResetShare;

    private long mNow = 1;

    private long mNumber;

    /** Holds an action at a simulated time. */
    private record Event(long mNanos, long mNumber, Runnable mAction) {}

    /** Processes prompts one after another, in the order of their arrival. */
    private static final class Engine {
        private final Set<Run> mStreams = new HashSet<>();
        private final Set<String> mParts = new HashSet<>();
        private final Deque<Run> mQueue = new ArrayDeque<>();
        private boolean mDown;
        private boolean mProcessing;
        private SimulatedPushback mPushback;
    }

    /** Holds one attempt at an engine. */
    private static final class Run {
        private final TryOrder mOrder;
        private final AttemptListener mListener;
        private boolean mEnded;

        Run(TryOrder order, AttemptListener listener) {
            mOrder = order;
            mListener = listener;
        }

        void fail(BackendFailure failure) {
            if (!mEnded) {
                mEnded = true;
                mListener.failed(failure, "simulated");
            }
        }
    }

    SimulatedFleet(int gateways, int engines, long seed) {
        this(gateways, engines, seed, GatewayFixtures.SLOTS, Integer.MAX_VALUE);
    }

    /** Creates a fleet whose engines run no more requests at once than they have slots. */
    static SimulatedFleet ofSlots(int gateways, int engines, int slots) {
        return new SimulatedFleet(gateways, engines, 1, slots, slots);
    }

    private SimulatedFleet(int gateways, int engines, long seed, int slots, int limit) {
        mLimit = limit;
        Configurator.setLevel("records", Level.OFF);
        mRandom = new Random(seed);
        for (int vm = 0; vm < gateways; vm++) {
            int from = vm;
            ServerPool pool =
                    new ServerPool(
                            GatewayFixtures.OWN_DOMAIN, () -> GatewayFixtures.RETRIES, () -> mNow);
            for (int i = 0; i < engines; i++) {
                pool.publishedServers().add(GatewayFixtures.engine("e" + i, slots));
            }
            pool.members(GatewayFixtures.members(vm, gateways));
            mPools.add(pool);
            PeerEndpoint own = new PeerEndpoint("10.0.0." + vm, 1);
            GatewayParts parts =
                    new GatewayParts(
                            pool,
                            (order, listener) -> start(from, order, listener),
                            (peer, message) -> deliver(own, peer, message),
                            new RequestLog(new MetricRegistry()),
                            () -> mNow);
            mPermits.put(own, parts.permits());
            mGateways.add(new Gateway(parts));
        }
        for (int i = 0; i < engines; i++) {
            mEngines.put("e" + i, new Engine());
        }
        every(TICK_NANOS, () -> mGateways.forEach(Gateway::tick));
        every(DIGEST_NANOS, this::exchangeDigests);
    }

    /** Schedules a request at a random gateway. */
    SimulatedOutcome request(long nanos, GatewayRequest request) {
        SimulatedOutcome outcome = new SimulatedOutcome(() -> mNow, request);
        mOutcomes.put(request.id().value(), outcome);
        int vm = mRandom.nextInt(mGateways.size());
        at(nanos, () -> mGateways.get(vm).submit(request, outcome));
        return outcome;
    }

    /** Makes an engine lose its requests and parts, and refuse connections until it returns. */
    void crash(int engine, long fromNanos, long untilNanos) {
        Engine crashed = mEngines.get("e" + engine);
        at(
                fromNanos,
                () -> {
                    crashed.mDown = true;
                    crashed.mParts.clear();
                    List<Run> lost = List.copyOf(crashed.mQueue);
                    crashed.mQueue.clear();
                    lost.forEach(run -> run.fail(BackendFailure.CONNECTION_LOST));
                });
        at(untilNanos, () -> crashed.mDown = false);
    }

    /** Makes each engine crash that has sent some events of an answer to a prompt with a part. */
    void crashAfter(String part, int events) {
        mCrashingParts.put(part, events);
    }

    /** Returns the times at which engines crashed because of a part of a prompt. */
    List<Long> crashes() {
        return mCrashes;
    }

    private boolean crashes(Engine engine, Run run, int events) {
        Prompt prompt = run.mOrder.request().prompt();
        boolean crashes =
                prompt.sharedParts().stream()
                        .anyMatch(part -> mCrashingParts.getOrDefault(part.id(), -1) == events);
        if (!crashes) {
            return false;
        }
        mCrashes.add(mNow);
        engine.mDown = true;
        engine.mParts.clear();
        List<Run> lost = new ArrayList<>(engine.mQueue);
        lost.addAll(engine.mStreams);
        lost.add(run);
        engine.mQueue.clear();
        engine.mStreams.clear();
        at(mNow, () -> lost.forEach(each -> each.fail(BackendFailure.CONNECTION_LOST)));
        at(mNow + DOWN_NANOS, () -> engine.mDown = false);
        return true;
    }

    /** Makes all engines reset a share of their requests for a time. */
    void reset(double share, long fromNanos, long untilNanos) {
        at(fromNanos, () -> mResetShare = share);
        at(untilNanos, () -> mResetShare = 0);
    }

    /** Makes an engine refuse requests and ask for none for a time. */
    void pushBack(int engine, long fromNanos, long untilNanos, long millis) {
        Engine refusing = mEngines.get("e" + engine);
        SimulatedPushback pushback = new SimulatedPushback(millis);
        mPushbacks.add(pushback);
        at(fromNanos, () -> refusing.mPushback = pushback);
        at(untilNanos, () -> refusing.mPushback = null);
    }

    /** Returns what became of the requests at engines that refused them. */
    List<SimulatedPushback> pushbacks() {
        return mPushbacks;
    }

    private void pushBack(SimulatedPushback pushback, int vm, Run run) {
        pushback.arrived(vm, mNow);
        at(
                mNow + HOP_NANOS,
                () -> {
                    pushback.tell(run.mListener);
                    run.fail(BackendFailure.REFUSED);
                });
    }

    /** Returns the number of permits that entry VMs asked of others. */
    int questions() {
        return mQuestions;
    }

    /** Returns the number of choices of an engine at all entry VMs. */
    long choices() {
        return mGateways.stream().mapToLong(Gateway::choices).sum();
    }

    /** Runs until a simulated time. */
    void run(long untilNanos) {
        while (!mEvents.isEmpty() && mEvents.peek().mNanos <= untilNanos) {
            Event event = mEvents.poll();
            mNow = event.mNanos;
            event.mAction.run();
        }
    }

    private void at(long nanos, Runnable action) {
        mEvents.add(new Event(nanos, mNumber++, action));
    }

    private void every(long nanos, Runnable action) {
        at(
                mNow + nanos,
                () -> {
                    action.run();
                    every(nanos, action);
                });
    }

    private void deliver(PeerEndpoint from, PeerEndpoint to, PermitMessage message) {
        mQuestions += message instanceof PermitMessage.Ask ? 1 : 0;
        at(mNow + HOP_NANOS, () -> mPermits.get(to).heard(from, message));
    }

    private void exchangeDigests() {
        for (int from = 0; from < mPools.size(); from++) {
            ServerPool pool = mPools.get(from);
            PeerEndpoint peer = new PeerEndpoint("10.0.0." + from, 1);
            Digest digest =
                    new Digest(
                            1,
                            mNow,
                            mPools.size(),
                            Revision.NONE,
                            List.of(),
                            pool.loads(),
                            pool.demands(),
                            pool.reads(3),
                            pool.recentlyLeaving(3),
                            pool.spillover().demands(),
                            pool.crashes().news(3));
            for (int to = 0; to < mPools.size(); to++) {
                if (to != from) {
                    mPools.get(to).heard(peer, digest);
                }
            }
        }
    }

    private Cancellation start(int vm, TryOrder order, AttemptListener listener) {
        Engine engine = mEngines.get(order.server().id().value());
        Run run = new Run(order, listener);
        if (!listener.sending()) {
            at(mNow, () -> run.fail(BackendFailure.HELD_BACK));
        } else if (engine.mDown) {
            at(mNow, () -> run.fail(BackendFailure.NOT_SENT));
        } else if (engine.mPushback != null) {
            pushBack(engine.mPushback, vm, run);
        } else if (mResetShare > 0 && mRandom.nextDouble() < mResetShare) {
            listener.connected(mNow);
            at(mNow + HOP_NANOS, () -> run.fail(BackendFailure.CONNECTION_LOST));
        } else {
            listener.connected(mNow);
            mOutcomes.get(order.request().id().value()).sent();
            engine.mQueue.add(run);
            if (engine.mQueue.size() == 1 || !engine.mProcessing) {
                process(engine);
            }
        }
        return () -> run.fail(BackendFailure.INCOMPLETE);
    }

    /** Processes the first prompt of an engine that its caller has not given up. */
    private void process(Engine engine) {
        while (!engine.mQueue.isEmpty() && engine.mQueue.peek().mEnded) {
            engine.mQueue.remove();
        }
        engine.mProcessing = !engine.mQueue.isEmpty() && engine.mStreams.size() < mLimit;
        if (!engine.mProcessing) {
            return;
        }
        Run run = engine.mQueue.peek();
        Prompt prompt = run.mOrder.request().prompt();
        long tokens = prompt.tokens();
        for (PromptPart part : prompt.sharedParts()) {
            tokens -= engine.mParts.add(part.id()) ? 0 : part.tokens();
        }
        mOutcomes.get(run.mOrder.request().id().value()).processed(tokens);
        at(
                mNow + (long) (tokens / TOKENS_PER_MILLI * GatewayFixtures.MILLI),
                () -> {
                    if (engine.mQueue.peek() == run) {
                        engine.mQueue.remove();
                        if (run.mEnded || !crashes(engine, run, 0)) {
                            occupy(engine, run);
                            process(engine);
                            begin(engine, run);
                        }
                    }
                });
    }

    private void occupy(Engine engine, Run run) {
        if (!run.mEnded) {
            engine.mStreams.add(run);
        }
    }

    private void vacate(Engine engine, Run run) {
        if (engine.mStreams.remove(run) && !engine.mProcessing) {
            process(engine);
        }
    }

    private void begin(Engine engine, Run run) {
        if (!run.mEnded) {
            run.mListener.head(new AnswerHead(200, List.of()));
            event(engine, run, 1);
        }
    }

    private void event(Engine engine, Run run, int id) {
        if (engine.mDown) {
            run.fail(BackendFailure.CONNECTION_LOST);
        }
        if (run.mEnded) {
            vacate(engine, run);
            return;
        }
        String text = "id: " + id + "\ndata: x\n\n";
        run.mListener.content(ByteBuffer.wrap(text.getBytes(StandardCharsets.UTF_8)));
        if (!run.mEnded && crashes(engine, run, id)) {
            return;
        }
        if (id < run.mOrder.request().prompt().maxOutputTokens()) {
            at(mNow + EVENT_NANOS, () -> event(engine, run, id + 1));
        } else {
            run.mEnded = true;
            vacate(engine, run);
            run.mListener.ended();
        }
    }
}
