package org.magnoliaseam.platform;

import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.magnoliaseam.backend.BackendFailure;
import org.magnoliaseam.catalog.RequestKind;
import org.magnoliaseam.catalog.Route;
import org.magnoliaseam.catalog.ServerEntry;
import org.magnoliaseam.catalog.Service;
import org.magnoliaseam.catalog.WeightedService;
import org.magnoliaseam.exchange.AnswerHead;
import org.magnoliaseam.gateway.AttemptListener;
import org.magnoliaseam.gateway.GatewayRequest;
import org.magnoliaseam.gateway.Prompt;
import org.magnoliaseam.gateway.ReportedLoad;
import org.magnoliaseam.gateway.TryOrder;
import org.magnoliaseam.model.BackendServerId;
import org.magnoliaseam.model.FailureDomain;
import org.magnoliaseam.model.RequestId;
import org.magnoliaseam.model.ServiceName;
import org.magnoliaseam.pushback.NoticeFault;

/** Creates attempts at a backend server that a test plays on a socket, and records their ends. */
final class AttemptFixture {

    private static final ServiceName SERVICE = new ServiceName("desk");

    private AttemptFixture() {}

    /** Records how an attempt ended. */
    static final class RecordingListener implements AttemptListener {
        private final CompletableFuture<String> mEnd = new CompletableFuture<>();
        private final CompletableFuture<Long> mOpenedNanos = new CompletableFuture<>();

        /** Returns "complete" or the name of the failure, once the attempt has ended. */
        CompletableFuture<String> end() {
            return mEnd;
        }

        /** Returns the time at which the connection of the attempt was made. */
        CompletableFuture<Long> openedNanos() {
            return mOpenedNanos;
        }

        @Override
        public void connected(long openedNanos) {
            mOpenedNanos.complete(openedNanos);
        }

        @Override
        public boolean sending() {
            return true;
        }

        @Override
        public void head(AnswerHead head) {}

        @Override
        public CompletableFuture<Void> content(ByteBuffer bytes) {
            return CompletableFuture.completedFuture(null);
        }

        @Override
        public void ended() {
            mEnd.complete("complete");
        }

        @Override
        public void failed(BackendFailure failure, String detail) {
            mEnd.complete(failure.name());
        }

        @Override
        public void load(ReportedLoad load) {}

        @Override
        public void pushback(long millis) {}

        @Override
        public void faultyNotice(NoticeFault fault) {}

        @Override
        public void leaving() {}
    }

    /** Creates an attempt of a request that may be repeated, at a port of this machine. */
    static TryOrder order(String method, byte[] body, int port) {
        Route route =
                new Route(
                        "lookup",
                        "h",
                        "/",
                        RequestKind.REPEATABLE,
                        List.of(new WeightedService(SERVICE, 1)),
                        1,
                        3000,
                        3000,
                        300,
                        0,
                        0,
                        true,
                        false);
        long deadline = System.nanoTime() + TimeUnit.SECONDS.toNanos(3);
        GatewayRequest request =
                new GatewayRequest(
                        new RequestId("r1"),
                        Optional.empty(),
                        route,
                        new Service(SERVICE, 10, 0, 0, Optional.empty()),
                        1,
                        method,
                        "/",
                        List.of(),
                        body,
                        Prompt.NONE,
                        "",
                        System.nanoTime(),
                        deadline);
        ServerEntry server =
                new ServerEntry(
                        new BackendServerId("i-1"),
                        SERVICE,
                        new InetSocketAddress("127.0.0.1", port),
                        new FailureDomain("d"),
                        4,
                        false,
                        0,
                        0);
        return new TryOrder(request, server, deadline, "");
    }
}
