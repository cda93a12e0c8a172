package org.magnoliaseam.gossip;

import static org.assertj.core.api.Assertions.assertThat;

import com.codahale.metrics.MetricRegistry;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.magnoliaseam.failure.FailureLog;
import org.magnoliaseam.leaving.ServerIncarnation;
import org.magnoliaseam.rollout.Revision;
import org.magnoliaseam.spillover.DomainDemand;
import org.magnoliaseam.suspect.CrashNews;
import org.magnoliaseam.suspect.CrashNotice;
import org.magnoliaseam.suspect.RequestMark;

/** Tests digests that are sent before the next one is due. */
class EarlyDigestTest {

    private static final CrashNews NEWS =
            new CrashNews(
                    List.of(
                            new CrashNotice(
                                    1, 9, 2, 3, 4, 5, Set.of(new RequestMark(6)), Set.of())),
                    List.of(),
                    List.of());

    /** Supplies news of a crash and nothing else. */
    private static final class NewsListener implements GossipListener {
        @Override
        public Revision publishedRevision() {
            return Revision.NONE;
        }

        @Override
        public List<ServerLoad> loads() {
            return List.of();
        }

        @Override
        public List<Demand> demands() {
            return List.of();
        }

        @Override
        public List<PartRead> reads(int digests) {
            return List.of();
        }

        @Override
        public List<ServerIncarnation> leaving(int digests) {
            return List.of();
        }

        @Override
        public List<DomainDemand> domainDemands() {
            return List.of();
        }

        @Override
        public CrashNews crashes(int digests) {
            return NEWS;
        }

        @Override
        public void heard(PeerEndpoint peer, Digest digest) {}

        @Override
        public void members(Membership membership) {}
    }

    /** Runs no periodic task. */
    private static final class TimersWithoutPeriod extends ScheduledThreadPoolExecutor {
        TimersWithoutPeriod() {
            super(1);
        }

        @Override
        public ScheduledFuture<?> scheduleWithFixedDelay(
                Runnable task, long initialDelay, long delay, TimeUnit unit) {
            return null;
        }
    }

    private static GossipNode node(InetSocketAddress own, List<InetSocketAddress> seeds) {
        return new GossipNode(
                own,
                seeds,
                new NewsListener(),
                new FailureLog(new MetricRegistry(), System::nanoTime),
                System::nanoTime);
    }

    @Test
    void datagramThatFailsDoesNotEndTheReceptionOfOthers() throws Exception {
        InetAddress host = InetAddress.getLoopbackAddress();
        try (DatagramSocket peer = new DatagramSocket(0, host)) {
            InetSocketAddress own;
            try (DatagramSocket free = new DatagramSocket(0, host)) {
                own = (InetSocketAddress) free.getLocalSocketAddress();
            }
            CountDownLatch received = new CountDownLatch(2);
            GossipNode node = node(own, List.of());
            node.start(
                    new TimersWithoutPeriod(),
                    (from, bytes, length) -> {
                        received.countDown();
                        throw new AssertionError("fails");
                    });
            peer.send(new DatagramPacket(new byte[1], 1, own));
            peer.send(new DatagramPacket(new byte[1], 1, own));
            assertThat(received.await(2, TimeUnit.SECONDS)).isTrue();
            node.stop();
        }
    }

    @Test
    void peerThatCannotBeSentToDoesNotKeepTheDigestFromOthers() throws Exception {
        InetAddress host = InetAddress.getLoopbackAddress();
        try (DatagramSocket peer = new DatagramSocket(0, host)) {
            InetSocketAddress own;
            try (DatagramSocket free = new DatagramSocket(0, host)) {
                own = (InetSocketAddress) free.getLocalSocketAddress();
            }
            InetSocketAddress seed = (InetSocketAddress) peer.getLocalSocketAddress();
            List<InetSocketAddress> seeds = new ArrayList<>(List.of(seed));
            for (int i = 1; i <= 16; i++) {
                seeds.add(new InetSocketAddress("127.0.0." + i, 0));
            }
            GossipNode node = node(own, seeds);
            node.start(new TimersWithoutPeriod(), (from, bytes, length) -> false);
            node.hurry();
            peer.setSoTimeout(2000);
            peer.receive(new DatagramPacket(new byte[4096], 4096));
            node.stop();
        }
    }

    @Test
    void newsOfACrashIsSentAtOnceAndOnceForThoseThatComeTogether() throws Exception {
        TimersWithoutPeriod timers = new TimersWithoutPeriod();
        try (DatagramSocket peer = new DatagramSocket(0, InetAddress.getLoopbackAddress())) {
            InetSocketAddress seed = (InetSocketAddress) peer.getLocalSocketAddress();
            InetSocketAddress own;
            try (DatagramSocket free = new DatagramSocket(0, InetAddress.getLoopbackAddress())) {
                own = (InetSocketAddress) free.getLocalSocketAddress();
            }
            GossipNode node = node(own, List.of(seed));
            node.hurry();
            node.start(timers, (from, bytes, length) -> false);
            node.hurry();
            node.hurry();
            DatagramPacket packet = new DatagramPacket(new byte[4096], 4096);
            peer.setSoTimeout(2000);
            peer.receive(packet);
            Digest digest = DigestCodec.decode(packet.getData(), packet.getLength());
            assertThat(digest.crashes()).isEqualTo(NEWS);
            assertThat(digest.sequence()).isEqualTo(1);
            TimeUnit.MILLISECONDS.sleep(100);
            assertThat(timers.getCompletedTaskCount()).isEqualTo(1);
            node.stop();
        } finally {
            timers.shutdownNow();
        }
    }
}
