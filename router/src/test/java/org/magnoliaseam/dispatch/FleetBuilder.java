package org.magnoliaseam.dispatch;

import java.net.URI;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.magnoliaseam.fleet.ClassFreeSlots;
import org.magnoliaseam.fleet.FleetView;
import org.magnoliaseam.fleet.PeerSummary;
import org.magnoliaseam.fleet.PeerView;
import org.magnoliaseam.fleet.ServerView;
import org.magnoliaseam.fleet.TierLoad;
import org.magnoliaseam.model.BackendKind;
import org.magnoliaseam.model.BackendServerId;
import org.magnoliaseam.model.ClientAccountId;
import org.magnoliaseam.model.FailureDomain;
import org.magnoliaseam.model.Incarnation;
import org.magnoliaseam.model.ModelId;
import org.magnoliaseam.model.Region;
import org.magnoliaseam.model.RequestClassId;
import org.magnoliaseam.model.RequestId;
import org.magnoliaseam.model.Tier;
import org.magnoliaseam.model.VmId;
import org.magnoliaseam.settings.BackendServer;
import org.magnoliaseam.settings.Configuration;
import org.magnoliaseam.settings.LatencyTargets;
import org.magnoliaseam.settings.OutOfService;
import org.magnoliaseam.settings.RequestClass;
import org.magnoliaseam.settings.RouterTuning;
import org.magnoliaseam.settings.VersionedConfiguration;

/** Builds fleet views and requests for the tests of the dispatchers. */
final class FleetBuilder {

    static final long MILLI = 1_000_000L;
    static final ModelId MODEL = new ModelId("m");

    private final Map<RequestClassId, RequestClass> mClasses = new LinkedHashMap<>();
    private final Map<BackendServerId, ServerView> mServers = new LinkedHashMap<>();
    private final List<PeerView> mPeers = new ArrayList<>();
    private VmId mSelf = new VmId("entry-1");
    private int mQueueLimit = 100_000;
    private boolean mLeaving;
    private long mSequence;

    FleetBuilder requestClass(String name, int rank, double share, String... servers) {
        return requestClass(name, rank, share, true, servers);
    }

    FleetBuilder requestClass(
            String name, int rank, double share, boolean idempotent, String... servers) {
        Duration firstToken = Duration.ofSeconds(rank);
        LatencyTargets targets =
                new LatencyTargets(firstToken, Duration.ofMillis(100), Duration.ofMinutes(1));
        Set<BackendServerId> allowed =
                Stream.of(servers).map(BackendServerId::new).collect(Collectors.toSet());
        RequestClassId id = new RequestClassId(name);
        mClasses.put(
                id,
                new RequestClass(
                        id,
                        new Tier(rank),
                        targets,
                        0.99,
                        share,
                        Duration.ofSeconds(10L * rank),
                        allowed,
                        Set.of(MODEL),
                        Optional.empty(),
                        Set.of(),
                        idempotent));
        return this;
    }

    FleetBuilder server(String name, int slots) {
        BackendServerId id = new BackendServerId(name);
        BackendServer server =
                new BackendServer(
                        id,
                        BackendKind.MODEL_ENGINE,
                        URI.create("http://127.0.0.1:1"),
                        new Region("r"),
                        new FailureDomain("d"),
                        Set.of(MODEL),
                        Optional.empty(),
                        Math.max(1, slots),
                        1,
                        false);
        mServers.put(id, new ServerView(server, slots, false, "warm", Optional.empty(), 50, 20));
        return this;
    }

    FleetBuilder view(ServerView view) {
        mServers.put(view.server().id(), view);
        return this;
    }

    FleetBuilder withoutServer(String name) {
        mServers.remove(new BackendServerId(name));
        return this;
    }

    FleetBuilder self(String vm) {
        mSelf = new VmId(vm);
        return this;
    }

    FleetBuilder queueLimit(int limit) {
        mQueueLimit = limit;
        return this;
    }

    FleetBuilder leaving() {
        mLeaving = true;
        return this;
    }

    FleetBuilder withoutPeers() {
        mPeers.clear();
        return this;
    }

    FleetBuilder peer(PeerView peer) {
        mPeers.add(peer);
        return this;
    }

    FleetBuilder peer(String vm, int freeSlots, long receivedNanos, TierLoad... pressure) {
        return peer(peerView(vm, roomOfAllClasses(freeSlots), receivedNanos, List.of(pressure)));
    }

    private List<ClassFreeSlots> roomOfAllClasses(int freeSlots) {
        return mClasses.keySet().stream()
                .map(id -> new ClassFreeSlots(id.shortKey(), freeSlots))
                .toList();
    }

    PeerView peerView(
            String vm, List<ClassFreeSlots> room, long receivedNanos, List<TierLoad> pressure) {
        PeerSummary summary =
                new PeerSummary(
                        new VmId(vm),
                        new Incarnation(1),
                        ++mSequence,
                        1,
                        1,
                        true,
                        false,
                        pressure,
                        room,
                        List.of(),
                        List.of(),
                        0,
                        0);
        return new PeerView(summary.vm(), summary, receivedNanos);
    }

    FleetView build() {
        RouterTuning tuning =
                new RouterTuning(
                        mQueueLimit,
                        0.1,
                        Duration.ofSeconds(20),
                        Duration.ofMinutes(5),
                        Duration.ofSeconds(5));
        Configuration configuration =
                new Configuration(
                        Map.copyOf(mClasses),
                        Map.of(),
                        Map.of(),
                        new OutOfService(Set.of(), Set.of(), Set.of()),
                        tuning,
                        "digest");
        return new FleetView(
                new VersionedConfiguration(1, configuration, null),
                new LinkedHashMap<>(mServers),
                List.copyOf(mPeers),
                mSelf,
                mLeaving);
    }

    WorkItem work(String id, String requestClass, String account, long arrivedNanos) {
        return new WorkItem(
                new RequestId(id),
                mClasses.get(new RequestClassId(requestClass)),
                new ClientAccountId(account),
                Optional.of(MODEL),
                0,
                arrivedNanos,
                Set.of(),
                false,
                0,
                true,
                false);
    }

    static WorkItem withState(
            WorkItem work, boolean started, boolean resumable, boolean handedOver) {
        return new WorkItem(
                work.id(),
                work.requestClass(),
                work.account(),
                work.model(),
                work.affinityKey(),
                work.arrivedNanos(),
                work.excluded(),
                started,
                work.relayedTokens(),
                resumable,
                handedOver);
    }

    static WorkItem excluding(WorkItem work, String server) {
        return new WorkItem(
                work.id(),
                work.requestClass(),
                work.account(),
                work.model(),
                work.affinityKey(),
                work.arrivedNanos(),
                Set.of(new BackendServerId(server)),
                work.started(),
                work.relayedTokens(),
                work.resumable(),
                work.handedOver());
    }

    static WorkItem withAffinity(WorkItem work, long key) {
        return new WorkItem(
                work.id(),
                work.requestClass(),
                work.account(),
                work.model(),
                key,
                work.arrivedNanos(),
                work.excluded(),
                work.started(),
                work.relayedTokens(),
                work.resumable(),
                work.handedOver());
    }
}
