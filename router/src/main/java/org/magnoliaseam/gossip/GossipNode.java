package org.magnoliaseam.gossip;

import java.io.IOException;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.magnoliaseam.failure.FailedStep;
import org.magnoliaseam.failure.FailureLog;
import org.magnoliaseam.time.MonotonicClock;

/** Sends digests to the other entry VMs periodically and receives theirs. */
public final class GossipNode {

    /** The interval of the periodic task in milliseconds. */
    private static final long INTERVAL_MILLIS = 100;

    /**
     * The interval, in digests, at which a digest also goes to addresses that are not live peers.
     */
    private static final int DISCOVERY_INTERVAL_DIGESTS = 10;

    /** The largest number of peers that get each digest; if there are more, they take turns. */
    private static final int FAN_OUT = 7;

    /**
     * The number of task intervals between two digests if there are more peers than the fan-out.
     */
    private static final int LARGE_FLEET_INTERVALS = 3;

    /** The time for which news for an early digest are collected, in milliseconds. */
    private static final long EARLY_MILLIS = 5;

    /** The smallest number of digests that repeat an item, since datagrams may be lost. */
    private static final int MIN_REPEATS = 3;

    /** The largest number of peer addresses in a digest. */
    private static final int MAX_NAMED_PEERS = 12;

    /** The largest datagram in bytes. */
    private static final int MAX_DATAGRAM_BYTES = 60_000;

    /** The shortest time between two log lines on unreadable datagrams, in nanoseconds. */
    private static final long UNREADABLE_LOG_NANOS = TimeUnit.MINUTES.toNanos(1);

    /** Logs discovered peers and failures. */
    private static final Logger LOG = LogManager.getLogger("gossip");

    /** The address of this entry VM. */
    private final InetSocketAddress mAddress;

    /** The directory of peers. */
    private final PeerDirectory mPeers;

    /** Supplies and receives the content of digests. */
    private final GossipListener mListener;

    /** Logs unexpected failures. */
    private final FailureLog mFailures;

    /** The clock. */
    private final MonotonicClock mClock;

    /** A random number that differs between two starts of this process. */
    private final long mIncarnation;

    /** The incarnation and the latest sequence number of each peer. */
    private final Map<PeerEndpoint, long[]> mSequences = new HashMap<>();

    /** The sequence number of the last digest. */
    private long mSequence;

    /** The number of task intervals since the start. */
    private long mIntervals;

    /** Whether an early digest is due. */
    private final AtomicBoolean mHurried = new AtomicBoolean();

    /** Runs the periodic task; null before the start. */
    private volatile ScheduledExecutorService mTimers;

    /** The socket; null before the start. */
    private DatagramSocket mSocket;

    /** The local monotonic time of the last log line on an unreadable datagram. */
    private long mUnreadableNanos;

    /**
     * Creates a node.
     *
     * @param address the address of this entry VM
     * @param seeds the addresses of some entry VMs
     * @param listener supplies and receives the content of digests
     * @param failures logs unexpected failures
     * @param clock the clock
     */
    public GossipNode(
            InetSocketAddress address,
            List<InetSocketAddress> seeds,
            GossipListener listener,
            FailureLog failures,
            MonotonicClock clock) {
        mAddress = address;
        mListener = listener;
        mFailures = failures;
        mClock = clock;
        mUnreadableNanos = clock.nanos() - UNREADABLE_LOG_NANOS;
        Random random = new Random();
        mIncarnation = random.nextLong();
        mPeers =
                new PeerDirectory(
                        PeerEndpoint.of(address),
                        seeds.stream().map(PeerEndpoint::of).toList(),
                        random,
                        clock.nanos());
    }

    /**
     * Opens the socket and begins to send and receive.
     *
     * @param timers runs the periodic task
     * @param receiver receives the datagrams that are not digests
     * @throws IOException if the socket cannot be opened
     */
    public void start(ScheduledExecutorService timers, DatagramReceiver receiver)
            throws IOException {
        mSocket = new DatagramSocket(mAddress);
        mTimers = timers;
        Thread thread = new Thread(() -> receive(receiver), "gossip");
        thread.setDaemon(true);
        thread.start();
        timers.scheduleWithFixedDelay(
                this::send, INTERVAL_MILLIS, INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
    }

    /**
     * Returns the time in which an entry VM sends a digest to each other one.
     *
     * @param peers the number of other entry VMs
     * @return the time in nanoseconds
     */
    public static long roundNanos(int peers) {
        long rounds = Math.max(1, (peers + FAN_OUT - 1) / FAN_OUT);
        long intervals = peers <= FAN_OUT ? 1 : LARGE_FLEET_INTERVALS;
        return TimeUnit.MILLISECONDS.toNanos(rounds * intervals * INTERVAL_MILLIS);
    }

    /** Closes the socket. */
    public void stop() {
        if (mSocket != null) {
            mSocket.close();
        }
    }

    /**
     * Sends a digest before the next one is due, because the listener has news that the other entry
     * VMs need at once. News that come within a few milliseconds share it. Called on any thread.
     */
    public void hurry() {
        ScheduledExecutorService timers = mTimers;
        if (timers != null && mHurried.compareAndSet(false, true)) {
            timers.schedule(this::sendEarly, EARLY_MILLIS, TimeUnit.MILLISECONDS);
        }
    }

    /** Sends an early digest. */
    private synchronized void sendEarly() {
        mHurried.set(false);
        try {
            long now = mClock.nanos();
            sendDigest(mPeers.live(now).size(), now);
        } catch (IOException e) {
            LOG.debug("gossip: could not send an early digest, cause={}", e.getMessage());
        } catch (RuntimeException | Error e) {
            mFailures.failed(FailedStep.GOSSIP, "", e);
        }
    }

    /** Reports the membership to the listener and sends a digest if one is due. */
    private synchronized void send() {
        try {
            long now = mClock.nanos();
            int peers = mPeers.live(now).size();
            mIntervals++;
            if (peers <= FAN_OUT || mIntervals % LARGE_FLEET_INTERVALS == 0) {
                mListener.members(mPeers.membership(now));
                sendDigest(peers, now);
            }
        } catch (IOException e) {
            LOG.debug("gossip: could not send a digest, cause={}", e.getMessage());
        } catch (RuntimeException | Error e) {
            mFailures.failed(FailedStep.GOSSIP, "", e);
        }
    }

    /**
     * Sends a digest to the next peers, and periodically to addresses that are not live.
     *
     * @param peers the number of live peers
     * @param now the local monotonic time
     * @throws IOException if the digest cannot be encoded
     */
    private void sendDigest(int peers, long now) throws IOException {
        List<PeerEndpoint> live = mPeers.live(now);
        int rounds = (peers + FAN_OUT - 1) / FAN_OUT;
        int repeats = Math.max(MIN_REPEATS, rounds + 1);
        Digest digest =
                new Digest(
                        mIncarnation,
                        ++mSequence,
                        mPeers.recentlyHeardCount(now),
                        mListener.publishedRevision(),
                        live.subList(0, Math.min(MAX_NAMED_PEERS, live.size())),
                        mListener.loads(),
                        mListener.demands(),
                        mListener.reads(repeats),
                        mListener.leaving(repeats),
                        mListener.domainDemands(),
                        mListener.crashes(repeats));
        byte[] bytes = DigestCodec.encode(digest);
        List<PeerEndpoint> targets = mPeers.next(FAN_OUT, now);
        if (mSequence % DISCOVERY_INTERVAL_DIGESTS == 1) {
            targets.addAll(mPeers.discoveryTargets(now));
        }
        for (PeerEndpoint target : targets) {
            send(target, bytes);
        }
    }

    /**
     * Sends a datagram; it may be lost.
     *
     * @param peer the entry VM
     * @param bytes the bytes
     */
    public void send(PeerEndpoint peer, byte[] bytes) {
        try {
            mSocket.send(new DatagramPacket(bytes, bytes.length, peer.address()));
        } catch (IOException | RuntimeException e) {
            LOG.debug("gossip: could not send a datagram, cause={}", e.getMessage());
        }
    }

    /**
     * Receives datagrams until the socket is closed.
     *
     * @param receiver receives the datagrams that are not digests
     */
    private void receive(DatagramReceiver receiver) {
        byte[] buffer = new byte[MAX_DATAGRAM_BYTES];
        while (!mSocket.isClosed()) {
            DatagramPacket packet = new DatagramPacket(buffer, buffer.length);
            try {
                mSocket.receive(packet);
                PeerEndpoint peer = PeerEndpoint.of((InetSocketAddress) packet.getSocketAddress());
                if (!receiver.received(peer, buffer, packet.getLength())) {
                    handle(peer, DigestCodec.decode(buffer, packet.getLength()));
                }
            } catch (IOException e) {
                unreadable(packet, e);
            } catch (RuntimeException | Error e) {
                mFailures.failed(FailedStep.GOSSIP, "", e);
            }
        }
    }

    /**
     * Logs a datagram that cannot be read, at most once a minute: peers with another format are not
     * heard, which changes the limits that this entry VM assumes.
     *
     * @param packet the datagram
     * @param cause why it cannot be read
     */
    private void unreadable(DatagramPacket packet, IOException cause) {
        long now = mClock.nanos();
        if (!mSocket.isClosed() && now - mUnreadableNanos >= UNREADABLE_LOG_NANOS) {
            mUnreadableNanos = now;
            LOG.warn(
                    "gossip: could not read a datagram, address={} cause={}",
                    packet.getAddress(),
                    cause.getMessage());
        }
    }

    /**
     * Handles a digest unless the same or a newer one of its sender has been received.
     *
     * @param peer the sender
     * @param digest the digest
     */
    private void handle(PeerEndpoint peer, Digest digest) {
        long[] last = mSequences.get(peer);
        boolean sameIncarnation = last != null && digest.incarnation() == last[0];
        if (sameIncarnation && digest.sequence() <= last[1]) {
            return;
        }
        mSequences.put(peer, new long[] {digest.incarnation(), digest.sequence()});
        if (mPeers.heard(peer, digest, mClock.nanos())) {
            LOG.info("gossip: peer found, address={}:{}", peer.host(), peer.port());
        }
        mListener.heard(peer, digest);
    }
}
