package org.magnoliaseam.gateway;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import org.magnoliaseam.exchange.Cancellation;

/** Runs the requests of callers until their end. Thread-safe. */
public final class Gateway {

    /** The requests in progress. */
    private final Set<GatewayCall> mCalls = ConcurrentHashMap.newKeySet();

    /** What each request uses. */
    private final GatewayParts mParts;

    /**
     * Creates a gateway.
     *
     * @param parts what each request uses
     */
    public Gateway(GatewayParts parts) {
        mParts = parts;
    }

    /**
     * Takes a request; returns at once.
     *
     * @param request the request
     * @param sink takes the answer
     * @return stops the request when its caller is gone
     */
    public Cancellation submit(GatewayRequest request, GatewaySink sink) {
        GatewayCall call = new GatewayCall(request, sink, mParts, mCalls::remove);
        mCalls.add(call);
        call.begin();
        return call::callerGone;
    }

    /** Ends what has taken too long and places what waits, the highest ranks first. */
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
