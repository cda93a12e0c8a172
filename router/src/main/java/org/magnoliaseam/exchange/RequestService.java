package org.magnoliaseam.exchange;

/** Runs authenticated requests. */
@FunctionalInterface
public interface RequestService {

    /**
     * Starts to run a request without waiting for its response.
     *
     * @param request the request
     * @param sink receives the response
     * @return cancels the request, for example if its caller closes the connection
     */
    Cancellation submit(AuthenticatedRequest request, AnswerSink sink);
}
