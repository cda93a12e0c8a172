package org.magnoliaseam.backend;

import java.net.ProtocolException;
import org.eclipse.jetty.client.ProcessingProtocolHandler;
import org.eclipse.jetty.client.Request;
import org.eclipse.jetty.client.Response;
import org.eclipse.jetty.http.HttpFields;

/**
 * Skips a limited number of interim responses, which no request asks for. Jetty's own handlers fail
 * an exchange at a response with status 100, and need not end an exchange that is aborted while
 * interim responses arrive.
 */
final class InterimResponseHandler extends ProcessingProtocolHandler {

    /** The maximum number of interim responses to one request. */
    private static final int MAX_RESPONSES = 16;

    /** The name of the attribute of a request with the number of its interim responses. */
    private static final String COUNT = InterimResponseHandler.class.getName();

    /** The name of the handler that this one replaces. */
    private final String mName;

    /** The status of the responses. */
    private final int mStatus;

    /**
     * Creates a handler.
     *
     * @param name the name of the handler that this one replaces
     * @param status the status of the responses
     */
    InterimResponseHandler(String name, int status) {
        mName = name;
        mStatus = status;
    }

    @Override
    public String getName() {
        return mName;
    }

    @Override
    public boolean accept(Request request, Response response) {
        return response.getStatus() == mStatus;
    }

    @Override
    protected void onProcessing(Request request, HttpFields fields) {
        int count = request.getAttributes().get(COUNT) instanceof Integer before ? before + 1 : 1;
        request.attribute(COUNT, count);
        if (count > MAX_RESPONSES) {
            request.abort(new ProtocolException("too many interim responses"));
        }
    }
}
