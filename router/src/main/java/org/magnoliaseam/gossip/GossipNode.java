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
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.magnoliaseam.time.MonotonicClock;

/** Sends and receives digests. */
public final class GossipNode {

    /** The time between two digests in milliseconds. */
    private static final long INTERVAL_MILLIS = 100;

    /** The digests between two tries of addresses from which nothing is heard. */
    private static final int TRY_EVERY = 10;

    /** The peers that get each digest; more are told in turn, less often. */
    private static final int FAN_OUT = 7;

    /** The intervals between two digests where not all peers get each. */
    private static final int LARGE_SITE_INTERVALS = 3;

    /** The digests in which a fact reaches a peer at least, since some get lost. */
    private static final int REPEATS = 3;

    /** The peers named in a digest. */
    private static final int NAMED_PEERS = 12;

    /** The largest datagram in bytes. */
    private static final int MAX_DATAGRAM_BYTES = 60_000;

    /** Writes found peers and failures. */
    private static final Logger LOG = LogManager.getLogger("gossip");

    /** The own address. */
    private final InetSocketAddress mAddress;

    /** Knows the peers. */
    private final PeerDirectory mPeers;

    /** Gives and takes digests. */
    private final GossipListener mListener;

    /** The clock. */
    private final MonotonicClock mClock;

    /** A random number that differs between two starts. */
    private final long mIncarnation;

    /** The incarnation and the last sequence of each peer. */
    private final Map<PeerEndpoint, long[]> mSequences = new HashMap<>();

    /** The number of the last digest. */
    private long mSequence;

    /** The intervals since the start. */
    private long mIntervals;

    /** The socket; null before the start. */
    private DatagramSocket mSocket;

    /**
     * Creates a node.
     *
     * @param address the own address
     * @param seeds the addresses of some entry VMs
     * @param listener gives and takes digests
     * @param clock the clock
     */
    public GossipNode(
            InetSocketAddress address,
            List<InetSocketAddress> seeds,
            GossipListener listener,
            MonotonicClock clock) {
        mAddress = address;
        mListener = listener;
        mClock = clock;
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
     * @param timers runs the periodic work
     * @throws IOException if the socket cannot be opened
     */
    public void start(ScheduledExecutorService timers) throws IOException {
        mSocket = new DatagramSocket(mAddress);
        Thread receiver = new Thread(this::receive, "gossip");
        receiver.setDaemon(true);
        receiver.start();
        timers.scheduleWithFixedDelay(
                this::send, INTERVAL_MILLIS, INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
    }

    /** Closes the socket. */
    public void stop() {
        if (mSocket != null) {
            mSocket.close();
        }
    }

    /** Looks at the peers and sends a digest if it is time. */
    private void send() {
        try {
            long now = mClock.nanos();
            mListener.members(mPeers.mayLive(now));
            int peers = mPeers.live(now).size();
            mIntervals++;
            if (peers <= FAN_OUT || mIntervals % LARGE_SITE_INTERVALS == 0) {
                sendDigest(peers, now);
            }
        } catch (IOException | RuntimeException e) {
            LOG.debug("gossip: a digest was not sent, cause={}", e.getMessage());
        }
    }

    /**
     * Sends a digest to the peers whose turn it is.
     *
     * @param peers the number of peers that are heard
     * @param now the local monotonic time
     * @throws IOException if a datagram cannot be sent
     */
    private void sendDigest(int peers, long now) throws IOException {
        List<PeerEndpoint> live = mPeers.live(now);
        int rounds = (peers + FAN_OUT - 1) / FAN_OUT;
        Digest digest =
                new Digest(
                        mIncarnation,
                        ++mSequence,
                        mPeers.heardLately(now),
                        live.subList(0, Math.min(NAMED_PEERS, live.size())),
                        mListener.loads(),
                        mListener.demands(),
                        mListener.reads(Math.max(REPEATS, rounds + 1)));
        byte[] bytes = DigestCodec.encode(digest);
        List<PeerEndpoint> targets = mPeers.next(FAN_OUT, now);
        if (mSequence % TRY_EVERY == 1) {
            targets.addAll(mPeers.unheard(now));
        }
        for (PeerEndpoint target : targets) {
            mSocket.send(new DatagramPacket(bytes, bytes.length, target.address()));
        }
    }

    /** Receives digests until the socket is closed. */
    private void receive() {
        byte[] buffer = new byte[MAX_DATAGRAM_BYTES];
        while (!mSocket.isClosed()) {
            DatagramPacket packet = new DatagramPacket(buffer, buffer.length);
            try {
                mSocket.receive(packet);
                Digest digest = DigestCodec.decode(buffer, packet.getLength());
                take(PeerEndpoint.of((InetSocketAddress) packet.getSocketAddress()), digest);
            } catch (IOException | RuntimeException e) {
                LOG.debug("gossip: a digest was not taken, cause={}", e.getMessage());
            }
        }
    }

    /**
     * Takes a digest unless a newer one of its sender has come.
     *
     * @param peer the sender
     * @param digest the digest
     */
    private void take(PeerEndpoint peer, Digest digest) {
        long[] last = mSequences.get(peer);
        boolean sameRun = last != null && digest.incarnation() == last[0];
        if (sameRun && digest.sequence() <= last[1]) {
            return;
        }
        mSequences.put(peer, new long[] {digest.incarnation(), digest.sequence()});
        if (mPeers.heard(peer, digest, mClock.nanos())) {
            LOG.info("gossip: peer found, address={}:{}", peer.host(), peer.port());
        }
        mListener.heard(peer, digest);
    }
}
