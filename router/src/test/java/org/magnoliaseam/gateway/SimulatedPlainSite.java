package org.magnoliaseam.gateway;

import com.codahale.metrics.MetricRegistry;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.PriorityQueue;
import java.util.Random;
import org.apache.logging.log4j.Level;
import org.apache.logging.log4j.core.config.Configurator;
import org.magnoliaseam.backend.BackendFailure;
import org.magnoliaseam.catalog.Account;
import org.magnoliaseam.catalog.RequestKind;
import org.magnoliaseam.catalog.Route;
import org.magnoliaseam.catalog.ServerEntry;
import org.magnoliaseam.catalog.WeightedService;
import org.magnoliaseam.exchange.AnswerHead;
import org.magnoliaseam.exchange.Cancellation;
import org.magnoliaseam.gossip.Digest;
import org.magnoliaseam.gossip.PeerEndpoint;
import org.magnoliaseam.model.BackendServerId;
import org.magnoliaseam.model.ClientAccountId;
import org.magnoliaseam.model.FailureDomain;
import org.magnoliaseam.model.RequestId;
import org.magnoliaseam.rollout.Revision;
import org.magnoliaseam.suspect.CrashNews;

/**
 * Plays requests of a plain service in simulated time: gateways whose digests reach a few peers at
 * a time, and servers with slots, a bounded queue and faults.
 */
final class SimulatedPlainSite {

    static final int SLOTS = 6;

    static final int QUEUE = 24;

    static final long ANSWER_NANOS = 64 * GatewayFixtures.MILLI;

    private static final long HOP_NANOS = GatewayFixtures.MILLI;

    private static final long TICK_NANOS = 20 * GatewayFixtures.MILLI;

    private static final long DIGEST_NANOS = 300 * GatewayFixtures.MILLI;

    private static final int DIGEST_PEERS = 7;

    private final PriorityQueue<Event> mEvents =
            new PriorityQueue<>(
                    (a, b) ->
                            a.mNanos != b.mNanos
                                    ? Long.compare(a.mNanos, b.mNanos)
                                    : Long.compare(a.mNumber, b.mNumber));

    private final List<Server> mServers = new ArrayList<>();

    private final List<ServerPool> mPools = new ArrayList<>();

    private final List<Gateway> mGateways = new ArrayList<>();

    private final List<SimulatedOutcome> mOutcomes = new ArrayList<>();

    private final Map<String, SimulatedOutcome> mById = new HashMap<>();

    private final Random mRandom;

    private final int mDomains;

    private int mDigests;

    private int mRejected;

    private double mWaitedBesideFreeSlots;

    private double mFaultShare;

    private long mFaultsUntilNanos;

    private long mNow = 1;

    private long mNumber;

    private record Event(long mNanos, long mNumber, Runnable mAction) {}

    private static final class Server {
        private final Deque<Run> mQueue = new ArrayDeque<>();
        private int mRunning;
        private int mServed;
    }

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

    SimulatedPlainSite(int gateways, int servers, RetryLimits retries, long seed) {
        Configurator.setLevel("records", Level.OFF);
        Configurator.setLevel("board", Level.OFF);
        mRandom = new Random(seed);
        mDomains = servers;
        for (int vm = 0; vm < gateways; vm++) {
            ServerPool pool = new ServerPool(domain(vm), () -> retries, () -> mNow);
            for (int i = 0; i < servers; i++) {
                pool.publishedServers().add(entry(i));
            }
            pool.members(GatewayFixtures.members(vm, gateways));
            mPools.add(pool);
            GatewayParts parts =
                    new GatewayParts(
                            pool,
                            this::start,
                            (peer, message) -> {},
                            new RequestLog(new MetricRegistry()),
                            () -> mNow);
            mGateways.add(new Gateway(parts));
        }
        for (int i = 0; i < servers; i++) {
            mServers.add(new Server());
        }
        every(TICK_NANOS, () -> mGateways.forEach(Gateway::tick));
        every(DIGEST_NANOS, this::exchangeDigests);
        every(GatewayFixtures.MILLI, this::observe);
    }

    private FailureDomain domain(int number) {
        return new FailureDomain("domain-" + number % mDomains);
    }

    private ServerEntry entry(int number) {
        return new ServerEntry(
                new BackendServerId("d" + number),
                GatewayFixtures.DESK,
                InetSocketAddress.createUnresolved("127.0.0.1", 1),
                domain(number),
                SLOTS,
                false,
                0,
                1);
    }

    private static Route route(RequestKind kind) {
        return new Route(
                "route-" + kind,
                "host.example",
                "/p/",
                kind,
                List.of(new WeightedService(GatewayFixtures.DESK, 1)),
                kind == RequestKind.REPEATABLE ? 3 : 1,
                3060,
                3060,
                320,
                0,
                1,
                false,
                false);
    }

    /** Returns the requests per second that the servers complete at most. */
    double capacity() {
        return mServers.size() * SLOTS * 1000.0 * GatewayFixtures.MILLI / ANSWER_NANOS;
    }

    /** Adds requests at random times, two of seven of them repeatable. */
    void load(double perSecond, long fromMillis, long untilMillis) {
        int count = (int) (perSecond * (untilMillis - fromMillis) / 1000);
        for (int i = 0; i < count; i++) {
            long span = (untilMillis - fromMillis) * GatewayFixtures.MILLI;
            long nanos = fromMillis * GatewayFixtures.MILLI + (long) (mRandom.nextDouble() * span);
            RequestKind kind = i % 7 < 2 ? RequestKind.REPEATABLE : RequestKind.ONCE;
            add(kind, nanos, mRandom.nextInt(mGateways.size()));
        }
    }

    private void add(RequestKind kind, long nanos, int vm) {
        Route route = route(kind);
        GatewayRequest request =
                new GatewayRequest(
                        new RequestId("r" + mOutcomes.size()),
                        Optional.of(
                                new Account(new ClientAccountId("account"), OptionalInt.empty())),
                        route,
                        GatewayFixtures.service(GatewayFixtures.DESK, 0),
                        1,
                        "POST",
                        "/p/1",
                        List.of(),
                        new byte[0],
                        Prompt.NONE,
                        "",
                        nanos,
                        nanos + route.timeoutMillis() * GatewayFixtures.MILLI);
        SimulatedOutcome outcome = new SimulatedOutcome(() -> mNow, request);
        mOutcomes.add(outcome);
        mById.put(request.id().value(), outcome);
        at(nanos, () -> mGateways.get(vm).submit(request, outcome));
    }

    /** Makes a share of the attempts fail at every server: errors, resets and lost answers. */
    void fail(double share, long fromMillis, long untilMillis) {
        at(fromMillis * GatewayFixtures.MILLI, () -> mFaultShare = share);
        mFaultsUntilNanos = untilMillis * GatewayFixtures.MILLI;
    }

    List<SimulatedOutcome> outcomes() {
        return mOutcomes;
    }

    /** Returns the refusals of full servers. */
    int rejected() {
        return mRejected;
    }

    /** Returns the attempts beyond the first of each request. */
    int repeats() {
        return mOutcomes.stream().mapToInt(outcome -> Math.max(0, outcome.runs() - 1)).sum();
    }

    /** Returns the time that requests waited at entry VMs while slots were free, per request. */
    double millisBesideFreeSlots() {
        return mWaitedBesideFreeSlots / mOutcomes.size();
    }

    /** Returns the requests of the busiest server against the mean. */
    double imbalance() {
        double all = mServers.stream().mapToInt(server -> server.mServed).sum();
        int most = mServers.stream().mapToInt(server -> server.mServed).max().orElse(0);
        return most * mServers.size() / all;
    }

    /** Runs until a simulated time. */
    void run(long untilMillis) {
        while (mEvents.peek().mNanos <= untilMillis * GatewayFixtures.MILLI) {
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

    private void observe() {
        int inside = mGateways.stream().mapToInt(Gateway::active).sum();
        int started =
                mPools.stream()
                        .flatMap(pool -> pool.loads().stream())
                        .mapToInt(l -> l.running())
                        .sum();
        if (mServers.stream().anyMatch(server -> server.mRunning < SLOTS)) {
            mWaitedBesideFreeSlots += Math.max(0, inside - started);
        }
    }

    private void exchangeDigests() {
        mDigests++;
        for (int from = 0; from < mPools.size(); from++) {
            ServerPool pool = mPools.get(from);
            Digest digest =
                    new Digest(
                            1,
                            mNow,
                            mPools.size(),
                            Revision.NONE,
                            List.of(),
                            pool.loads(),
                            List.of(),
                            List.of(),
                            List.of(),
                            List.of(),
                            CrashNews.NONE);
            for (int i = 0; i < Math.min(DIGEST_PEERS, mPools.size() - 1); i++) {
                int step = 1 + (mDigests * DIGEST_PEERS + i) % (mPools.size() - 1);
                mPools.get((from + step) % mPools.size())
                        .heard(new PeerEndpoint("10.0.0." + from, 1), digest);
            }
        }
        for (int vm = 0; vm < mPools.size(); vm++) {
            mPools.get(vm).members(GatewayFixtures.members(vm, mPools.size()));
        }
    }

    private Cancellation start(TryOrder order, AttemptListener listener) {
        Server server = mServers.get(Integer.parseInt(order.server().id().value().substring(1)));
        Run run = new Run(order, listener);
        if (!listener.sending()) {
            at(mNow, () -> run.fail(BackendFailure.HELD_BACK));
            return () -> run.fail(BackendFailure.INCOMPLETE);
        }
        at(mNow + HOP_NANOS, () -> arrive(server, run));
        return () -> at(mNow, () -> run.fail(BackendFailure.INCOMPLETE));
    }

    private void arrive(Server server, Run run) {
        if (server.mQueue.size() >= QUEUE) {
            mRejected++;
            at(
                    mNow + HOP_NANOS,
                    () -> {
                        report(server, run);
                        run.mListener.full();
                        run.fail(BackendFailure.REFUSED);
                    });
            return;
        }
        mById.get(run.mOrder.request().id().value()).sent();
        server.mQueue.add(run);
        next(server);
    }

    private void report(Server server, Run run) {
        run.mListener.load(new ReportedLoad(server.mRunning, server.mQueue.size(), SLOTS));
    }

    private void next(Server server) {
        while (server.mRunning < SLOTS && !server.mQueue.isEmpty()) {
            Run run = server.mQueue.poll();
            server.mRunning++;
            server.mServed++;
            at(
                    mNow + ANSWER_NANOS,
                    () -> {
                        server.mRunning--;
                        next(server);
                        at(mNow + HOP_NANOS, () -> end(server, run));
                    });
        }
    }

    private void end(Server server, Run run) {
        boolean fails = mNow < mFaultsUntilNanos && mRandom.nextDouble() < mFaultShare;
        int fault = fails ? mRandom.nextInt(3) : -1;
        if (run.mEnded || fault == 0) {
            return;
        }
        if (fault == 1) {
            run.fail(BackendFailure.CONNECTION_LOST);
            return;
        }
        report(server, run);
        run.mListener.head(new AnswerHead(fault == 2 ? 500 : 200, List.of()));
        run.mEnded = true;
        run.mListener.ended();
    }
}
