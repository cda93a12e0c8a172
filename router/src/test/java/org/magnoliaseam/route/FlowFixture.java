package org.magnoliaseam.route;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.apache.logging.log4j.LogManager;
import org.eclipse.jetty.client.HttpClient;
import org.magnoliaseam.FleetFixtures;
import org.magnoliaseam.RecordFixtures;
import org.magnoliaseam.backend.BackendCall;
import org.magnoliaseam.backend.BackendClient;
import org.magnoliaseam.backend.BackendFailure;
import org.magnoliaseam.backend.BackendListener;
import org.magnoliaseam.backend.JettyBackendClient;
import org.magnoliaseam.dispatch.TieredDispatcher;
import org.magnoliaseam.error.Refusal;
import org.magnoliaseam.exchange.AnswerHead;
import org.magnoliaseam.exchange.AnswerSink;
import org.magnoliaseam.exchange.AuthenticatedRequest;
import org.magnoliaseam.exchange.Cancellation;
import org.magnoliaseam.exchange.ForwardedRequest;
import org.magnoliaseam.fleet.FleetView;
import org.magnoliaseam.fleet.PeerSummary;
import org.magnoliaseam.fleet.PeerView;
import org.magnoliaseam.fleet.ServerView;
import org.magnoliaseam.model.BackendServerId;
import org.magnoliaseam.model.ClientAccountId;
import org.magnoliaseam.model.Incarnation;
import org.magnoliaseam.model.ModelId;
import org.magnoliaseam.model.RequestClassId;
import org.magnoliaseam.model.RequestId;
import org.magnoliaseam.model.VmId;
import org.magnoliaseam.peer.PeerNetwork;
import org.magnoliaseam.settings.BackendServer;
import org.magnoliaseam.settings.PeerAddress;
import org.magnoliaseam.settings.RequestClass;
import org.magnoliaseam.settings.VersionedConfiguration;
import org.magnoliaseam.ticket.LedgerLimits;
import org.magnoliaseam.ticket.Ticket;
import org.magnoliaseam.ticket.TicketCodec;
import org.magnoliaseam.ticket.TicketLedger;

/** Runs requests of the example site against backend servers and peers that the test plays. */
final class FlowFixture implements BackendClient, PeerNetwork, AttemptGuard {

    static final RequestClassId LOOKUP = new RequestClassId("ledger-lookup");
    static final RequestClassId CHAT = RecordFixtures.CHAT;
    static final VmId SELF = new VmId("entry-1");
    static final byte[] SECRET = new byte[32];
    static final ClientAccountId ACCOUNT = new ClientAccountId("antwerp-inspectors");

    final List<BackendListener> mTries = new ArrayList<>();
    final List<AnswerSink> mForwarded = new ArrayList<>();
    private final List<Try> mRunning = new ArrayList<>();
    boolean mRetryBudgetLeft = true;
    long mNanos = TimeUnit.HOURS.toNanos(1);
    final VersionedConfiguration mConfiguration = RecordFixtures.configuration("");
    final DispatchLoop mLoop =
            new DispatchLoop(new TieredDispatcher(1), () -> mNanos, FlowFixture::runLikeAPool);
    final RequestFlow mFlow =
            new RequestFlow(
                    new RequestParts(SELF, mLoop, this, this, this, built -> {}, () -> mNanos),
                    new TicketService(
                            new TicketCodec(SECRET),
                            new TicketLedger(
                                    SELF,
                                    new Incarnation(1),
                                    new LedgerLimits(50, 100, 150, 10_000)),
                            () -> 20_000,
                            () -> mNanos),
                    () -> Optional.of(mConfiguration),
                    () -> false,
                    () -> 0);

    private int mSlots;

    FlowFixture() {
        servers(1);
    }

    static String foreignTicket() {
        VmId issuer = new VmId("entry-2");
        Ticket ticket =
                new Ticket(
                        issuer, new Incarnation(1), 1, 0, 20_000, ACCOUNT, RecordFixtures.RELEASE);
        return new TicketCodec(SECRET).encode(ticket);
    }

    /** Gives each server a number of slots. */
    void servers(int slots) {
        mSlots = slots;
        mLoop.update(view());
    }

    private static void runLikeAPool(Runnable task) {
        try {
            task.run();
        } catch (RuntimeException e) {
            LogManager.getLogger("test").info("A task failed: {}", e.getMessage());
        }
    }

    private FleetView view() {
        Map<BackendServerId, ServerView> servers = new LinkedHashMap<>();
        for (BackendServer server : mConfiguration.configuration().backendServers().values()) {
            servers.put(
                    server.id(),
                    new ServerView(server, mSlots, false, "warm", Optional.empty(), 50, 20));
        }
        PeerSummary summary = FleetFixtures.summary(2, true, false);
        List<PeerView> peers = List.of(new PeerView(summary.vm(), summary, mNanos));
        return new FleetView(mConfiguration, servers, peers, SELF, false);
    }

    private AuthenticatedRequest request(
            String id, RequestClassId name, String path, String ticket) {
        RequestClass requestClass = mConfiguration.configuration().classes().get(name);
        Optional<ModelId> model = requestClass.models().stream().findFirst();
        return new AuthenticatedRequest(
                new RequestId(id),
                ACCOUNT,
                requestClass,
                requestClass.idempotent() ? "GET" : "POST",
                path,
                List.of(),
                new byte[0],
                true,
                model,
                0,
                ticket,
                mNanos,
                Optional.empty());
    }

    Caller submit(String id, RequestClassId name, String path, String ticket) {
        Caller caller = new Caller();
        mFlow.submit(request(id, name, path, ticket), caller);
        return caller;
    }

    void pass(long millis) {
        mNanos += TimeUnit.MILLISECONDS.toNanos(millis);
        for (Try running : List.copyOf(mRunning)) {
            long limit = TimeUnit.MILLISECONDS.toNanos(running.call().timeoutMillis());
            if (limit > 0 && mNanos - running.sentNanos() >= limit && mRunning.remove(running)) {
                running.listener().failed(BackendFailure.TIMEOUT, "The time limit passed.");
            }
        }
        mFlow.tick();
        mLoop.tick();
    }

    static void head(AnswerSink answer) {
        answer.head(new AnswerHead(200, List.of()));
    }

    static void head(BackendListener answer) {
        answer.head(new AnswerHead(200, List.of()));
    }

    static void token(BackendListener answer, String id, int offset) {
        answer.content(event(id, offset));
    }

    static ByteBuffer event(String id, int offset) {
        String data =
                "{\"id\":\"%s\",\"offset\":%d,\"choices\":[{\"delta\":{\"content\":\"x\"}}]}"
                        .formatted(id, offset);
        return ByteBuffer.wrap(("data: " + data + "\n\n").getBytes());
    }

    @Override
    public Cancellation start(BackendCall call, BackendListener listener) {
        if (call.path().contains("{")) {
            return new JettyBackendClient(new HttpClient(), new HttpClient()).start(call, listener);
        }
        mTries.add(listener);
        listener.sending();
        Try running = new Try(call, listener, mNanos);
        mRunning.add(running);
        return () -> {
            if (mRunning.remove(running)) {
                listener.failed(BackendFailure.INCOMPLETE, "cancelled");
            }
        };
    }

    @Override
    public Cancellation forward(VmId peer, ForwardedRequest request, AnswerSink sink) {
        mForwarded.add(sink);
        return () -> {};
    }

    @Override
    public boolean connected(VmId peer, Incarnation incarnation) {
        return true;
    }

    @Override
    public void connectTo(List<PeerAddress> peers) {}

    @Override
    public void broadcast(PeerSummary summary) {}

    @Override
    public void requestConfiguration(VmId peer, long newerThan) {}

    @Override
    public Optional<BackendServer> permit(BackendServerId server, AuthenticatedRequest request) {
        return Optional.of(mConfiguration.configuration().backendServers().get(server));
    }

    @Override
    public boolean confirm(BackendServerId server) {
        return true;
    }

    @Override
    public Optional<FleetView> refresh() {
        return Optional.of(view());
    }

    @Override
    public void recordFirstAttempt() {}

    @Override
    public boolean tryAcquireRetry() {
        return mRetryBudgetLeft;
    }

    @Override
    public void succeeded(
            BackendServerId server, AuthenticatedRequest request, AttemptTimes times) {}

    @Override
    public void ended(
            BackendServerId server,
            AuthenticatedRequest request,
            BackendFailure failure,
            boolean cancelled) {}

    @Override
    public boolean crashing(AuthenticatedRequest request) {
        return false;
    }

    @Override
    public Set<BackendServerId> suspectExclusions(AuthenticatedRequest request) {
        return Set.of();
    }

    /** Holds an attempt that runs. */
    private record Try(BackendCall call, BackendListener listener, long sentNanos) {}

    /** Plays a caller. */
    static final class Caller implements AnswerSink {

        CompletableFuture<Void> mWritten = CompletableFuture.completedFuture(null);
        boolean mEnded;
        Refusal mRefusal;

        @Override
        public void head(AnswerHead head) {}

        @Override
        public CompletableFuture<Void> write(ByteBuffer bytes) {
            return mWritten;
        }

        @Override
        public void end() {
            mEnded = true;
        }

        @Override
        public void refuse(Refusal refusal) {
            mRefusal = refusal;
        }
    }
}
