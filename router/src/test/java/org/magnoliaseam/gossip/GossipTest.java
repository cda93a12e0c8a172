package org.magnoliaseam.gossip;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.catchThrowable;

import java.io.IOException;
import java.util.List;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.magnoliaseam.model.BackendServerId;
import org.magnoliaseam.model.ServiceName;

/** Tests digests and the knowledge of peers. */
class GossipTest {

    private static final long SECOND = 1_000_000_000L;

    private static final PeerEndpoint OWN = new PeerEndpoint("10.0.0.1", 1);

    private static final PeerEndpoint SEED = new PeerEndpoint("10.0.0.2", 1);

    private static final PeerEndpoint OTHER = new PeerEndpoint("10.0.0.3", 1);

    private static Digest digest() {
        return new Digest(
                7,
                8,
                List.of(SEED),
                List.of(new ServerLoad(new BackendServerId("s"), 3, 4000)),
                List.of(new Demand(new ServiceName("x"), 200, 1.5)),
                List.of(new PartRead(new BackendServerId("s"), "p", 9)));
    }

    @Test
    void digestSurvivesTheWire() throws IOException {
        byte[] bytes = DigestCodec.encode(digest());
        assertThat(DigestCodec.decode(bytes, bytes.length)).isEqualTo(digest());
    }

    @Property(seed = "20261204", tries = 500)
    void spoiltDatagramIsRefusedWithoutAnotherFailure(
            @ForAll @IntRange(max = 80) int position, @ForAll byte value) throws IOException {
        byte[] bytes = DigestCodec.encode(digest());
        bytes[position % bytes.length] = value;
        int length = Math.max(1, bytes.length - position % 3);
        Throwable thrown = catchThrowable(() -> DigestCodec.decode(bytes, length));
        assertThat(thrown == null || thrown instanceof IOException).isTrue();
    }

    /** Tests who counts as a peer. */
    @Nested
    class Directory {
        private final PeerDirectory mPeers =
                new PeerDirectory(OWN, List.of(OWN, SEED), new Random(1));

        @Test
        void peersOfPeersAreTriedForAWhile() {
            mPeers.heard(SEED, List.of(OWN, OTHER), 0);
            assertThat(mPeers.unheard(SECOND)).containsExactly(OTHER);
            assertThat(mPeers.unheard(6 * SECOND)).containsExactly(SEED);
        }

        @Test
        void silentPeerStillCountsForLimits() {
            mPeers.heard(SEED, List.of(), 0);
            mPeers.heard(OTHER, List.of(), 0);
            mPeers.heard(new PeerEndpoint("10.0.0.4", 1), List.of(), 0);
            assertThat(mPeers.live(3 * SECOND)).isEmpty();
            assertThat(mPeers.mayLive(3 * SECOND)).isEqualTo(4);
            assertThat(mPeers.mayLive(60 * SECOND)).isEqualTo(3);
        }

        @Test
        void returnOfALostPeerIsNoticed() {
            assertThat(mPeers.heard(SEED, List.of(), 0)).isTrue();
            assertThat(mPeers.heard(SEED, List.of(), SECOND)).isFalse();
            assertThat(mPeers.heard(SEED, List.of(), 5 * SECOND)).isTrue();
        }
    }
}
