package org.magnoliaseam.route;

import java.util.function.BooleanSupplier;
import org.eclipse.jetty.http.HttpStatus;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;

/** Reports to the load balancer whether the process accepts requests. */
final class ReadinessHandler extends Handler.Abstract.NonBlocking {

    /** Returns whether the process accepts requests. */
    private final BooleanSupplier mReady;

    /**
     * Creates a handler.
     *
     * @param ready returns whether the process accepts requests
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
