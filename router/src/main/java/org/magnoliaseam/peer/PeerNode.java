package org.magnoliaseam.peer;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Future;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ThreadFactory;
import java.util.concurrent.ThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.LongAdder;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.magnoliaseam.error.ErrorKind;
import org.magnoliaseam.error.Refusal;
import org.magnoliaseam.exchange.AnswerSink;
import org.magnoliaseam.exchange.Cancellation;
import org.magnoliaseam.exchange.ForwardedRequest;
import org.magnoliaseam.fleet.PeerSummary;
import org.magnoliaseam.model.Incarnation;
import org.magnoliaseam.model.VmId;
import org.magnoliaseam.settings.PeerAddress;
import org.magnoliaseam.time.MonotonicClock;

/**
 * Exchanges heartbeats, configurations and requests with other entry VMs over TCP.
 *
 * <p>Each node dials each of its peers and uses the connection that it dialled for its own
 * heartbeats, configuration requests and forwarded requests, so that the two directions of a pair
 * fail independently. A connection has a reader and a writer thread. Event handlers and answer
 * sinks run on a small pool of other threads, and calls for one stream run one at a time and in
 * order; a slow handler delays other handlers but never the threads that read and write frames.
 */
public final class PeerNode implements PeerNetwork, AutoCloseable {

    /** The logger of this class. */
    private static final Logger LOG = LogManager.getLogger(PeerNode.class);

    /** The run of this process. */
    private final PeerIdentity mSelf;

    /** The address to listen on. */
    private final InetSocketAddress mListenAddress;

    /** The state shared by all connections. */
    private final PeerContext mContext;

    /** Runs event handlers. */
    private final ExecutorService mHandlers;

    /** Accepts connections. */
    private final PeerListener mListener;

    /** The dialers by peer. */
    private final Map<VmId, Dialer> mDialers = new ConcurrentHashMap<>();

    /** The connections to entry VMs that are not in the list of peers. */
    private final TemporaryDialers mTemporaryDialers;

    /** The entry VMs that may be dialled for single requests. */
    private volatile Map<VmId, PeerAddress> mAllowed = Map.of();

    /** The position of the next peer to get a heartbeat. */
    private final AtomicInteger mNextTurn = new AtomicInteger();

    /** Counts the answer frames that belong to no stream. */
    private final LongAdder mDropped = new LongAdder();

    /** The periodic check, or null before the start. */
    private Future<?> mTicks;

    /** Whether the node is closed. */
    private boolean mClosed;

    /**
     * Creates a node that is not yet started.
     *
     * @param vm this entry VM
     * @param incarnation this run
     * @param listenAddress the address to listen on
     * @param secret the secret that the entry VMs of the site share, not empty
     * @param events handles what arrives from peers
     * @param clock measures durations
     * @param timers runs time limits; it stays open when the node is closed
     * @param threads creates the threads of the node
     * @throws IOException if no socket can be created
     */
    public PeerNode(
            VmId vm,
            Incarnation incarnation,
            InetSocketAddress listenAddress,
            byte[] secret,
            PeerEvents events,
            MonotonicClock clock,
            ScheduledExecutorService timers,
            ThreadFactory threads)
            throws IOException {
        mSelf = new PeerIdentity(vm, incarnation);
        mListenAddress = listenAddress;
        mHandlers = newHandlers(threads);
        Handshake handshake = new Handshake(mSelf, PeerKey.derive(secret));
        PeerEventDispatcher dispatcher = new PeerEventDispatcher(events, mHandlers);
        mContext =
                new PeerContext(handshake, events, clock, timers, threads, mHandlers, dispatcher);
        mListener = new PeerListener(mContext);
        mTemporaryDialers = new TemporaryDialers(clock);
    }

    /**
     * Starts to accept connections.
     *
     * @throws IOException if the address cannot be used
     */
    public synchronized void start() throws IOException {
        mListener.start(mListenAddress);
        mTicks =
                mContext.timers()
                        .scheduleWithFixedDelay(
                                this::tick,
                                PeerLimits.CHECK_INTERVAL_MILLIS,
                                PeerLimits.CHECK_INTERVAL_MILLIS,
                                TimeUnit.MILLISECONDS);
    }

    /**
     * Returns the address that the node accepts connections on.
     *
     * @return the address
     */
    public InetSocketAddress boundAddress() {
        return mListener.boundAddress();
    }

    /**
     * Returns the number of answer frames that arrived for an exchange that had ended.
     *
     * @return the number since the start
     */
    public long droppedAnswers() {
        return mDropped.sum();
    }

    @Override
    public synchronized void connectTo(List<PeerAddress> peers) {
        if (mClosed) {
            return;
        }
        Map<VmId, PeerAddress> wanted = wanted(peers);
        for (Dialer dialer : mDialers.values()) {
            if (!dialer.peer().equals(wanted.get(dialer.peer().vm()))) {
                mDialers.remove(dialer.peer().vm());
                mTemporaryDialers.add(dialer);
            }
        }
        Set<VmId> missing = new HashSet<>(wanted.keySet());
        missing.removeAll(mDialers.keySet());
        for (VmId vm : missing) {
            PeerAddress address = wanted.get(vm);
            Dialer dialer =
                    mTemporaryDialers.promote(address).orElseGet(() -> startDialer(address, true));
            mDialers.put(vm, dialer);
        }
    }

    /**
     * Sends a heartbeat to the connected peers. If there are more than {@link
     * PeerLimits#HEARTBEATS_A_ROUND}, they are served round-robin, which bounds the traffic of a
     * node.
     *
     * @param summary the state of this entry VM
     */
    @Override
    public void broadcast(PeerSummary summary) {
        List<Dialer> dialers = List.copyOf(mDialers.values());
        int round = Math.min(dialers.size(), PeerLimits.HEARTBEATS_A_ROUND);
        int first = mNextTurn.getAndAdd(round);
        for (int turn = first; turn < first + round; turn++) {
            Dialer dialer = dialers.get(Math.floorMod(turn, dialers.size()));
            dialer.link().ifPresent(link -> link.outbox().heartbeat(summary));
        }
    }

    @Override
    public void requestConfiguration(VmId peer, long newerThan) {
        Frame request = new Frame.ConfigurationRequest(newerThan);
        link(peer).ifPresent(link -> link.outbox().configuration(request));
    }

    @Override
    public boolean connected(VmId peer, Incarnation incarnation) {
        PeerIdentity wanted = new PeerIdentity(peer, incarnation);
        return link(peer).filter(link -> link.connection().peer().equals(wanted)).isPresent();
    }

    @Override
    public void allowDialling(List<PeerAddress> members) {
        Map<VmId, PeerAddress> allowed = new HashMap<>();
        members.forEach(member -> allowed.put(member.vm(), member));
        allowed.remove(mSelf.vm());
        mAllowed = Map.copyOf(allowed);
    }

    @Override
    public synchronized CompletableFuture<Boolean> reach(VmId peer, Incarnation incarnation) {
        PeerAddress address = mAllowed.get(peer);
        Optional<Dialer> dialer = Optional.ofNullable(mDialers.get(peer));
        boolean dialled = dialer.isPresent();
        if (mClosed || link(peer).isPresent() || !dialled && address == null) {
            return CompletableFuture.completedFuture(connected(peer, incarnation));
        }
        return dialer.or(() -> mTemporaryDialers.use(peer, () -> startDialer(address, false)))
                .map(Dialer::settled)
                .orElseGet(() -> CompletableFuture.completedFuture(null))
                .thenApplyAsync(settled -> connected(peer, incarnation), mHandlers);
    }

    /**
     * Forwards a request to a peer. After a cancellation the sink is not called any more.
     *
     * @param peer the peer
     * @param request the request
     * @param sink receives the answer; called on the threads for event handlers
     * @return stops the exchange on both sides
     */
    @Override
    public Cancellation forward(VmId peer, ForwardedRequest request, AnswerSink sink) {
        Optional<DialledLink> link = link(peer);
        if (link.isPresent()) {
            return link.get().streams().forward(request, sink);
        }
        Refusal refusal =
                new Refusal(ErrorKind.NO_BACKEND_SERVER, "There is no connection to the peer.");
        mHandlers.execute(() -> sink.refuse(refusal));
        return () -> {};
    }

    /**
     * Sends the waiting frames, waits up to {@link PeerLimits#FINISH_TIMEOUT_MILLIS} for the peers
     * to receive them, and stops the node.
     */
    @Override
    public synchronized void close() {
        if (mClosed) {
            return;
        }
        mClosed = true;
        finish();
        if (mTicks != null) {
            mTicks.cancel(false);
        }
        mDialers.values().forEach(Dialer::stop);
        mTemporaryDialers.stop();
        mListener.close();
        mHandlers.shutdown();
    }

    /** Lets all connections end once the waiting frames were sent, within a time limit. */
    private void finish() {
        List<PeerConnection> connections = new ArrayList<>(mListener.finish());
        connections.addAll(mTemporaryDialers.finish());
        mDialers.values().forEach(dialer -> dialer.finish().ifPresent(connections::add));
        long limit = TimeUnit.MILLISECONDS.toNanos(PeerLimits.FINISH_TIMEOUT_MILLIS);
        long deadline = mContext.clock().nanos() + limit;
        try {
            for (PeerConnection connection : connections) {
                long left = Math.max(0, deadline - mContext.clock().nanos());
                connection.awaitEnd(TimeUnit.NANOSECONDS.toMillis(left));
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /**
     * Creates the pool for event handlers. After its shutdown the last calls to sinks run on the
     * calling threads.
     *
     * @param threads creates the threads
     * @return the pool
     */
    private static ExecutorService newHandlers(ThreadFactory threads) {
        return new ThreadPoolExecutor(
                PeerLimits.EVENT_THREADS,
                PeerLimits.EVENT_THREADS,
                0,
                TimeUnit.SECONDS,
                new LinkedBlockingQueue<>(),
                threads,
                (task, pool) -> task.run());
    }

    /**
     * Finds the connection to a peer or another entry VM.
     *
     * @param peer the peer
     * @return the connection, or empty if none is up
     */
    private Optional<DialledLink> link(VmId peer) {
        return Optional.ofNullable(mDialers.get(peer))
                .flatMap(Dialer::link)
                .or(() -> mTemporaryDialers.link(peer));
    }

    /**
     * Chooses the peers to dial among the given ones.
     *
     * @param peers the given peers
     * @return all but this VM, up to the limit
     */
    private Map<VmId, PeerAddress> wanted(List<PeerAddress> peers) {
        Map<VmId, PeerAddress> wanted = new HashMap<>();
        for (PeerAddress peer : peers) {
            if (wanted.size() == PeerLimits.DIALLED_PEERS) {
                LOG.debug("peer: dialling only the first {} peers.", PeerLimits.DIALLED_PEERS);
                break;
            }
            if (!peer.vm().equals(mSelf.vm())) {
                wanted.put(peer.vm(), peer);
            }
        }
        return wanted;
    }

    /**
     * Creates and starts a dialer.
     *
     * @param address the peer
     * @param reconnect whether to dial again when the connection is lost
     * @return the dialer
     */
    private Dialer startDialer(PeerAddress address, boolean reconnect) {
        Dialer dialer = new Dialer(address, mContext, mDropped, reconnect);
        mContext.threads().newThread(dialer).start();
        return dialer;
    }

    /** Sends pings and closes connections that are stuck or no longer needed. */
    private void tick() {
        mDialers.values().forEach(dialer -> guard(dialer::tick));
        guard(mListener::tick);
        guard(mTemporaryDialers::tick);
    }

    /**
     * Runs a periodic check. What it throws ends neither the other checks nor later runs.
     *
     * @param check the check
     */
    private static void guard(Runnable check) {
        try {
            check.run();
        } catch (RuntimeException | Error e) {
            LOG.error("peer: a periodic check failed", e);
        }
    }
}
