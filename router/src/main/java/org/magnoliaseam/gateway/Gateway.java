package org.magnoliaseam.gateway;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import org.magnoliaseam.exchange.Cancellation;

/** Serves the requests of callers until they have ended. Thread-safe. */
public final class Gateway {

    /** The requests in progress. */
    private final Set<GatewayCall> mCalls = ConcurrentHashMap.newKeySet();

    /** The components that each request uses. */
    private final GatewayParts mParts;

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
     * Ends requests at their deadlines, gives up silent attempts and places waiting requests, those
     * of the highest priority first.
     */
    public void tick() {
        if (mCalls.isEmpty()) {
            return;
        }
        List<GatewayCall> calls = new ArrayList<>(mCalls);
        calls.sort(
                Comparator.comparingInt((GatewayCall call) -> call.request().priority())
                        .thenComparingLong(call -> call.request().arrivedNanos()));
        calls.forEach(GatewayCall::tick);
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
