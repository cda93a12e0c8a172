package org.magnoliaseam.gossip;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.magnoliaseam.model.BackendServerId;
import org.magnoliaseam.model.FailureDomain;
import org.magnoliaseam.model.ServiceName;
import org.magnoliaseam.rollout.Revision;
import org.magnoliaseam.spillover.Crossing;
import org.magnoliaseam.spillover.DomainDemand;
import org.magnoliaseam.suspect.CrashNews;

/** Tests that the rate of digests with demand of failure domains stays below its limit. */
class DigestSizeTest {

    private static final int LIMIT_BYTES_PER_SECOND = 16 * 1024;

    /** The headers of UDP and IPv4. */
    private static final int HEADER_BYTES = 28;

    private static final int FAN_OUT = 7;

    private static Digest digest(List<DomainDemand> demands) {
        List<PeerEndpoint> peers = new ArrayList<>();
        List<ServerLoad> loads = new ArrayList<>();
        for (int i = 0; i < 12; i++) {
            peers.add(new PeerEndpoint("192.0.2.1" + (10 + i), 18_002));
        }
        for (int i = 0; i < 8; i++) {
            loads.add(new ServerLoad(new BackendServerId("engine-" + (100 + i)), 2, 9000));
        }
        List<Demand> kinds = new ArrayList<>();
        for (int i = 0; i < 3; i++) {
            kinds.add(new Demand(new ServiceName("engines"), 200 + i, 1e5));
        }
        return new Digest(
                Long.MIN_VALUE,
                1 << 20,
                350,
                new Revision(1 << 20, 1 << 20),
                peers,
                loads,
                kinds,
                List.of(),
                List.of(),
                demands,
                CrashNews.NONE);
    }

    private static List<DomainDemand> demands(int services, int crossings) {
        List<DomainDemand> demands = new ArrayList<>();
        for (int service = 0; service < services; service++) {
            List<Crossing> sent = new ArrayList<>();
            for (int domain = 0; domain < crossings; domain++) {
                sent.add(new Crossing(new FailureDomain("domain-" + domain), 1.25));
            }
            demands.add(
                    new DomainDemand(
                            new ServiceName("service-" + service),
                            new FailureDomain("domain-9"),
                            20.5,
                            sent));
        }
        return demands;
    }

    @ParameterizedTest
    @ValueSource(ints = {27, 90, 350})
    void rateOfDigestsStaysBelowTheLimit(int vms) throws IOException {
        int before = DigestCodec.encode(digest(List.of())).length;
        int calm = DigestCodec.encode(digest(demands(2, 0))).length;
        int crossing = DigestCodec.encode(digest(demands(2, 2))).length;
        double perSecond =
                FAN_OUT * 1e9 * Math.ceil((vms - 1.0) / FAN_OUT) / GossipNode.roundNanos(vms - 1);
        System.out.printf(
                "digests at %d VMs: %.1f/s, bytes %d without, %d calm, %d while crossing;"
                        + " bytes/s %.0f, %.0f, %.0f%n",
                vms,
                perSecond,
                before,
                calm,
                crossing,
                perSecond * (before + HEADER_BYTES),
                perSecond * (calm + HEADER_BYTES),
                perSecond * (crossing + HEADER_BYTES));
        assertThat(perSecond * (crossing + HEADER_BYTES)).isLessThan(LIMIT_BYTES_PER_SECOND);
    }

    @Test
    void invalidRatesAreRejected() throws IOException {
        for (double rate : new double[] {-1, Double.NaN, Double.POSITIVE_INFINITY}) {
            DomainDemand bad =
                    new DomainDemand(new ServiceName("s"), new FailureDomain("d"), rate, List.of());
            byte[] bytes = DigestCodec.encode(digest(List.of(bad)));
            assertThatThrownBy(() -> DigestCodec.decode(bytes, bytes.length))
                    .isInstanceOf(IOException.class);
        }
    }
}
