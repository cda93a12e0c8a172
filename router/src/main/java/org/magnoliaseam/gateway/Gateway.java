package org.magnoliaseam.gateway;

import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.magnoliaseam.exchange.Cancellation;
import org.magnoliaseam.failure.FailedStep;

/** Serves the requests of callers until they have ended. Thread-safe. */
public final class Gateway {

    /** The time after its deadline from which an open request counts as overdue, in nanoseconds. */
    private static final long OVERDUE_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

    /** The shortest time between two log lines on overdue requests, in nanoseconds. */
    private static final long OVERDUE_LOG_NANOS = TimeUnit.SECONDS.toNanos(5);

    /** Logs overdue requests. */
    private static final Logger LOG = LogManager.getLogger("gateway");

    /** The requests in progress. */
    private final Set<GatewayCall> mCalls = ConcurrentHashMap.newKeySet();

    /** The components that each request uses. */
    private final GatewayParts mParts;

    /** Whether overdue requests have been logged. */
    private boolean mOverdueLogged;

    /** The local monotonic time of the last log line on overdue requests. */
    private long mOverdueLoggedNanos;

    /**
     * Creates a gateway.
     *
     * @param parts the components that each request uses
     */
    public Gateway(GatewayParts parts) {
        mParts = parts;
    }

    /**
     * Starts a request; returns at once.
     *
     * @param request the request
     * @param sink receives the answer
     * @return cancels the request when its caller has disconnected
     */
    public Cancellation submit(GatewayRequest request, GatewaySink sink) {
        GatewayCall call = new GatewayCall(request, sink, mParts, mCalls::remove);
        mCalls.add(call);
        call.begin();
        return call::callerGone;
    }

    /**
     * Ends requests at their deadlines and gives up silent attempts. Waiting requests start as soon
     * as an attempt ends; here they start after other changes, such as the end of an ejection.
     */
    public void tick() {
        if (mCalls.isEmpty()) {
            return;
        }
        logOverdue();
        mParts.failures().guard(FailedStep.TICK, "", mParts.permits()::tick);
        forEach(GatewayCall::tick);
        mParts.waiting().drain();
    }

    /**
     * Runs a step of each request in progress, whatever those of the others do.
     *
     * @param step the step
     */
    private void forEach(Consumer<GatewayCall> step) {
        for (GatewayCall call : mCalls) {
            String id = call.request().id().value();
            mParts.failures().guard(FailedStep.TICK, id, () -> step.accept(call));
        }
    }

    /** Logs that requests are open well after their deadline, which only a failure explains. */
    private void logOverdue() {
        long now = mParts.clock().nanos();
        if (mOverdueLogged && now - mOverdueLoggedNanos < OVERDUE_LOG_NANOS) {
            return;
        }
        List<GatewayRequest> overdue = overdueRequests(now);
        if (!overdue.isEmpty()) {
            mOverdueLogged = true;
            mOverdueLoggedNanos = now;
            LOG.error(
                    "gateway: requests are open after their deadline, requests={} request={}",
                    overdue.size(),
                    overdue.get(0).id().value());
        }
    }

    /**
     * Returns the requests that are open well after their deadline.
     *
     * @param nowNanos the local monotonic time
     * @return the requests
     */
    private List<GatewayRequest> overdueRequests(long nowNanos) {
        return mCalls.stream()
                .map(GatewayCall::request)
                .filter(request -> nowNanos - request.deadlineNanos() >= OVERDUE_NANOS)
                .toList();
    }

    /**
     * Returns the number of requests that are open well after their deadline.
     *
     * @return the number
     */
    public int overdue() {
        return overdueRequests(mParts.clock().nanos()).size();
    }

    /**
     * Returns the number of choices of a backend server, which shows the processor time that
     * waiting requests cost.
     *
     * @return the choices so far, with those that found no room
     */
    public long choices() {
        return mParts.waiting().choices();
    }

    /** Ends the requests in progress with a final answer each, since the process ends. */
    public void end() {
        forEach(GatewayCall::processEnds);
    }

    /** Closes idle connections to backend servers that are leaving; called periodically. */
    public void closeLeaving() {
        mParts.pool().leaving().forEach(mParts.port()::closeIdle);
    }

    /**
     * Returns the number of requests in progress.
     *
     * @return the number
     */
    public int active() {
        return mCalls.size();
    }
}
