package org.magnoliaseam.gossip;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.catchThrowable;

import com.codahale.metrics.MetricRegistry;
import java.io.IOException;
import java.util.List;
import java.util.Random;
import java.util.Set;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.magnoliaseam.failure.FailureLog;
import org.magnoliaseam.leaving.ServerIncarnation;
import org.magnoliaseam.model.BackendServerId;
import org.magnoliaseam.model.FailureDomain;
import org.magnoliaseam.model.ServiceName;
import org.magnoliaseam.permit.EnginePermits;
import org.magnoliaseam.permit.PermitDatagrams;
import org.magnoliaseam.permit.PermitIds;
import org.magnoliaseam.rollout.Revision;
import org.magnoliaseam.spillover.Crossing;
import org.magnoliaseam.spillover.DomainDemand;
import org.magnoliaseam.suspect.AnswerNotice;
import org.magnoliaseam.suspect.CrashNews;
import org.magnoliaseam.suspect.CrashNotice;
import org.magnoliaseam.suspect.RequestMark;

/** Tests the encoding of digests and the directory of peers. */
class GossipTest {

    private static final long SECOND = 1_000_000_000L;

    private static final PeerEndpoint OWN = new PeerEndpoint("10.0.0.1", 1);

    private static final PeerEndpoint SEED = new PeerEndpoint("10.0.0.2", 1);

    private static final PeerEndpoint OTHER = new PeerEndpoint("10.0.0.3", 1);

    private static Digest digest() {
        return new Digest(
                7,
                8,
                6,
                new Revision(3, 41),
                List.of(SEED),
                List.of(new ServerLoad(new BackendServerId("s"), 3, 4000)),
                List.of(new Demand(new ServiceName("x"), 200, 1.5)),
                List.of(new PartRead(new BackendServerId("s"), "p", 9)),
                List.of(new ServerIncarnation(new BackendServerId("s"), 1_780_000_000_000L)),
                List.of(
                        new DomainDemand(
                                new ServiceName("x"),
                                new FailureDomain("d"),
                                1.5,
                                List.of(new Crossing(new FailureDomain("e"), 0.25)))),
                new CrashNews(
                        List.of(
                                new CrashNotice(
                                        -4,
                                        -7,
                                        30,
                                        150,
                                        20,
                                        25,
                                        Set.of(
                                                new RequestMark(Long.MIN_VALUE + 1),
                                                new RequestMark(4)),
                                        Set.of(new RequestMark(4)))),
                        List.of(new AnswerNotice(new RequestMark(8), 12)),
                        List.of(-9L)));
    }

    /** Creates a digest of a peer that counts a number of entry VMs and names some. */
    private static Digest digestOf(int vms, PeerEndpoint... named) {
        return new Digest(
                7,
                8,
                vms,
                Revision.NONE,
                List.of(named),
                List.of(),
                List.of(),
                List.of(),
                List.of(),
                List.of(),
                CrashNews.NONE);
    }

    @Test
    void decodingRestoresTheEncodedDigest() throws IOException {
        byte[] bytes = DigestCodec.encode(digest());
        assertThat(DigestCodec.decode(bytes, bytes.length)).isEqualTo(digest());
    }

    /** Guards against a format that peers take for a permit, so that no entry VM hears another. */
    @Test
    void digestIsNotTakenForAPermit() throws IOException {
        byte[] bytes = DigestCodec.encode(digest());
        PeerEndpoint peer = new PeerEndpoint("10.0.0.1", 1);
        EnginePermits permits =
                new EnginePermits(
                        new PermitIds(new Random(1)),
                        (to, message) -> {},
                        () -> null,
                        new FailureLog(new MetricRegistry(), () -> 0),
                        () -> 0);
        assertThat(PermitDatagrams.receiver(permits).received(peer, bytes, bytes.length)).isFalse();
    }

    @Property(seed = "20261204", tries = 500)
    void corruptDatagramIsAcceptedOrRejectedWithIoException(
            @ForAll @IntRange(max = 80) int position, @ForAll byte value) throws IOException {
        byte[] bytes = DigestCodec.encode(digest());
        bytes[position % bytes.length] = value;
        int length = Math.max(1, bytes.length - position % 3);
        Throwable thrown = catchThrowable(() -> DigestCodec.decode(bytes, length));
        assertThat(thrown == null || thrown instanceof IOException).isTrue();
    }

    /** Tests which peers are live and which may be alive. */
    @Nested
    class Directory {
        private final PeerDirectory mPeers =
                new PeerDirectory(OWN, List.of(OWN, SEED), new Random(1), 0);

        @Test
        void addressesNamedByPeersAreDiscoveryTargetsForALimitedTime() {
            mPeers.heard(SEED, digestOf(1, OWN, OTHER), 0);
            assertThat(mPeers.discoveryTargets(SECOND)).containsExactly(OTHER);
            assertThat(mPeers.discoveryTargets(6 * SECOND)).containsExactly(SEED);
        }

        @Test
        void silentPeerStillCountsInTheMembership() {
            mPeers.heard(SEED, digestOf(1), 0);
            mPeers.heard(OTHER, digestOf(1), 0);
            mPeers.heard(new PeerEndpoint("10.0.0.4", 1), digestOf(1), 0);
            assertThat(mPeers.live(3 * SECOND)).isEmpty();
            assertThat(mPeers.membership(3 * SECOND).vms()).isEqualTo(4);
            assertThat(mPeers.membership(60 * SECOND).vms()).isEqualTo(3);
        }

        @Test
        void newProcessUsesTheCountOfAPeer() {
            assertThat(mPeers.membership(0).vms()).isEqualTo(8);
            mPeers.heard(SEED, digestOf(30), SECOND);
            assertThat(mPeers.membership(SECOND).settled()).isFalse();
            assertThat(mPeers.membership(2 * SECOND).settled()).isTrue();
            assertThat(mPeers.membership(2 * SECOND).vms()).isEqualTo(30);
            assertThat(mPeers.recentlyHeardCount(2 * SECOND)).isEqualTo(2);
        }

        @Test
        void processWithoutPeersSettlesAfterAWhile() {
            assertThat(mPeers.membership(SECOND).settled()).isFalse();
            assertThat(mPeers.membership(4 * SECOND).settled()).isTrue();
            assertThat(mPeers.membership(4 * SECOND).vms()).isEqualTo(3);
        }

        @Test
        void returnOfASilentPeerIsReported() {
            assertThat(mPeers.heard(SEED, digestOf(1), 0)).isTrue();
            assertThat(mPeers.heard(SEED, digestOf(1), SECOND)).isFalse();
            assertThat(mPeers.heard(SEED, digestOf(1), 5 * SECOND)).isTrue();
        }
    }
}
