package org.magnoliaseam.route;

import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;

/** Passes a request to the handler of the port that it came in on. */
final class PortHandler extends Handler.Abstract.NonBlocking {

    /** The name of the callers' port. */
    static final String CALLERS = "callers";

    /** The name of the port for readiness. */
    static final String READINESS = "readiness";

    /** Serves callers. */
    private final Handler mCallers;

    /** Answers the balancer. */
    private final Handler mReadiness;

    /**
     * Creates a handler.
     *
     * @param callers serves callers
     * @param readiness answers the balancer
     */
    PortHandler(Handler callers, Handler readiness) {
        mCallers = callers;
        mReadiness = readiness;
    }

    @Override
    public boolean handle(Request request, Response response, Callback callback) throws Exception {
        String port = request.getConnectionMetaData().getConnector().getName();
        Handler handler = READINESS.equals(port) ? mReadiness : mCallers;
        return handler.handle(request, response, callback);
    }
}
