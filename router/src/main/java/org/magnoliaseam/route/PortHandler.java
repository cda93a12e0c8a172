package org.magnoliaseam.route;

import java.util.Map;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;

/** Passes a request to the handler of the port on which it arrived. */
final class PortHandler extends Handler.Abstract.NonBlocking {

    /** The name of the callers' port. */
    static final String CALLERS = "callers";

    /** The name of the port for readiness. */
    static final String READINESS = "readiness";

    /** The name of the operators' port. */
    static final String OPERATORS = "operators";

    /** The handlers by the name of their port. */
    private final Map<String, Handler> mHandlers;

    /**
     * Creates a handler.
     *
     * @param handlers the handlers by the name of their port
     */
    PortHandler(Map<String, Handler> handlers) {
        mHandlers = Map.copyOf(handlers);
    }

    @Override
    public boolean handle(Request request, Response response, Callback callback) throws Exception {
        String port = request.getConnectionMetaData().getConnector().getName();
        return mHandlers.get(port).handle(request, response, callback);
    }
}
