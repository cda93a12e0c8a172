package org.magnoliaseam.gateway;

import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Set;
import org.magnoliaseam.catalog.Account;
import org.magnoliaseam.catalog.EngineCapacity;
import org.magnoliaseam.catalog.RequestKind;
import org.magnoliaseam.catalog.Route;
import org.magnoliaseam.catalog.ServerEntry;
import org.magnoliaseam.catalog.Service;
import org.magnoliaseam.catalog.WeightedService;
import org.magnoliaseam.gossip.Membership;
import org.magnoliaseam.gossip.PeerEndpoint;
import org.magnoliaseam.model.BackendServerId;
import org.magnoliaseam.model.ClientAccountId;
import org.magnoliaseam.model.FailureDomain;
import org.magnoliaseam.model.RequestId;
import org.magnoliaseam.model.ServiceName;

/** Builds requests and backend servers for tests of the gateway. */
final class GatewayFixtures {

    static final long MILLI = 1_000_000L;

    static final FailureDomain OWN_DOMAIN = new FailureDomain("domain-1");

    static final RetryLimits RETRIES = new RetryLimits(1, 100);

    static final ServiceName ENGINES = new ServiceName("engines");

    static final ServiceName DESK = new ServiceName("desk");

    /** The published slots of a backend server. */
    static final int SLOTS = 64;

    private GatewayFixtures() {}

    static Service service(ServiceName name, double coldPerSecond) {
        boolean engine = name.equals(ENGINES);
        return new Service(
                name,
                100,
                coldPerSecond,
                3000,
                engine ? Optional.of(new EngineCapacity(64, 250_000)) : Optional.empty());
    }

    static Route route(RequestKind kind, int maxTries, boolean resumable, long pauseMillis) {
        return new Route(
                "route-" + kind + pauseMillis,
                "host.example",
                "/p/",
                kind,
                List.of(new WeightedService(kind.streamed() ? ENGINES : DESK, 1)),
                maxTries,
                5000,
                5000,
                500,
                pauseMillis,
                1,
                false,
                resumable);
    }

    static GatewayRequest request(String id, Route route, Prompt prompt) {
        return request(id, route, prompt, "", 0, 5000 * MILLI);
    }

    static GatewayRequest request(
            String id,
            Route route,
            Prompt prompt,
            String body,
            long arrivedNanos,
            long deadlineNanos) {
        ServiceName name = route.services().get(0).service();
        return new GatewayRequest(
                new RequestId(id),
                Optional.of(new Account(new ClientAccountId("account"), OptionalInt.of(1))),
                route,
                service(name, 0),
                1,
                "POST",
                "/p/1",
                List.of(),
                body.getBytes(StandardCharsets.UTF_8),
                prompt,
                "",
                arrivedNanos,
                deadlineNanos);
    }

    static Prompt prompt(String shared, int sharedTokens, int ownTokens) {
        return new Prompt(
                List.of(new PromptPart(shared, sharedTokens), new PromptPart("own", ownTokens)),
                sharedTokens + ownTokens,
                50);
    }

    static Membership members(int vms) {
        return members(0, vms);
    }

    /** Creates a membership of entry VMs, seen from the one with the given number. */
    static Membership members(int own, int vms) {
        Set<PeerEndpoint> others = new HashSet<>();
        for (int vm = 0; vm < vms; vm++) {
            if (vm != own) {
                others.add(new PeerEndpoint("10.0.0." + vm, 1));
            }
        }
        return new Membership(new PeerEndpoint("10.0.0." + own, 1), others, vms, true);
    }

    static ServerEntry server(String id, ServiceName service, boolean draining) {
        return server(id, service, draining, SLOTS);
    }

    static ServerEntry engine(String id, int slots) {
        return server(id, ENGINES, false, slots);
    }

    static ServerEntry server(String id, ServiceName service, boolean draining, int slots) {
        return new ServerEntry(
                new BackendServerId(id),
                service,
                InetSocketAddress.createUnresolved("127.0.0.1", 1),
                OWN_DOMAIN,
                slots,
                draining,
                0,
                1);
    }

    /** Returns the entry of the next start of a backend server under the same id. */
    static ServerEntry laterStart(ServerEntry entry) {
        return new ServerEntry(
                entry.id(),
                entry.service(),
                entry.address(),
                entry.failureDomain(),
                entry.slots(),
                entry.draining(),
                entry.coldMillis(),
                entry.startMark() + 1);
    }
}
