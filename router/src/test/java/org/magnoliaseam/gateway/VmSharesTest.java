package org.magnoliaseam.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.magnoliaseam.catalog.Service;
import org.magnoliaseam.gossip.Membership;
import org.magnoliaseam.gossip.PeerEndpoint;
import org.magnoliaseam.model.BackendServerId;

/** Tests limits that apply to all entry VMs together. */
class VmSharesTest {

    private static final long MILLI = GatewayFixtures.MILLI;

    private static final Service ENGINES = GatewayFixtures.service(GatewayFixtures.ENGINES, 13);

    private static final BackendServerId SERVER = new BackendServerId("s");

    private static VmShares shares(int own, int vms) {
        VmShares shares = new VmShares();
        shares.members(GatewayFixtures.members(own, vms));
        return shares;
    }

    @ParameterizedTest
    @ValueSource(ints = {1, 5, 30, 350})
    void entryVmsAtTheirLimitStayBelowTheColdLimitTogether(int vms) {
        int first = 0;
        int second = 0;
        for (int vm = 0; vm < vms; vm++) {
            VmShares shares = shares(vm, vms);
            ColdStartLimiter limiter = new ColdStartLimiter(0);
            for (long t = 5000; t < 7000; t++) {
                boolean sent = limiter.take(shares.coldPerSecond(ENGINES, SERVER), t * MILLI);
                first += sent && t < 6000 ? 1 : 0;
                second += sent && t >= 6000 ? 1 : 0;
            }
        }
        int limit = (int) (1.5 * 13 + 5);
        assertThat(first).isLessThanOrEqualTo(limit);
        assertThat(second).isBetween(1, limit);
    }

    @Test
    void eachServerHasSixSenders() {
        for (int server = 0; server < 50; server++) {
            List<Integer> senders = new ArrayList<>();
            for (int vm = 0; vm < 30; vm++) {
                BackendServerId id = new BackendServerId("s" + server);
                if (shares(vm, 30).coldPerSecond(ENGINES, id) > 0) {
                    senders.add(vm);
                }
            }
            assertThat(senders).hasSize(6);
        }
    }

    @Test
    void newProcessSendsNothingToAColdServer() {
        VmShares shares = new VmShares();
        assertThat(shares.coldPerSecond(ENGINES, SERVER)).isZero();
        shares.members(new Membership(new PeerEndpoint("10.0.0.1", 1), Set.of(), 8, false));
        assertThat(shares.coldPerSecond(ENGINES, SERVER)).isZero();
        assertThat(shares.vms()).isEqualTo(8);
    }
}
