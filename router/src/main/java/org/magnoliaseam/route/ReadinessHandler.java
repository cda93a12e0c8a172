package org.magnoliaseam.route;

import java.util.function.BooleanSupplier;
import org.eclipse.jetty.http.HttpStatus;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;

/** Tells the balancer whether the process takes requests. */
final class ReadinessHandler extends Handler.Abstract.NonBlocking {

    /** Tells whether the process takes requests. */
    private final BooleanSupplier mReady;

    /**
     * Creates a handler.
     *
     * @param ready tells whether the process takes requests
     */
    ReadinessHandler(BooleanSupplier ready) {
        mReady = ready;
    }

    @Override
    public boolean handle(Request request, Response response, Callback callback) {
        boolean ready = mReady.getAsBoolean();
        response.setStatus(ready ? HttpStatus.OK_200 : HttpStatus.SERVICE_UNAVAILABLE_503);
        callback.succeeded();
        return true;
    }
}
