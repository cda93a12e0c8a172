package org.magnoliaseam.error;

import java.util.Locale;

/** Lists the kinds of refusals, each with the response that the caller gets. */
public enum ErrorKind {
    /** The body is not valid JSON. */
    INVALID_JSON(400, Executed.NO, 0, "The body is not valid JSON."),
    /** The request misses a required part or has a malformed one. */
    INVALID_REQUEST(
            400, Executed.NO, 0, "The request misses a required part or has a malformed one."),
    /** The request carries no key of a client account. */
    UNAUTHENTICATED(401, Executed.NO, 0, "The request carries no key of a client account."),
    /** The client account may not use the request class. */
    CLASS_FORBIDDEN(403, Executed.NO, 0, "The client account may not use the request class."),
    /** No request class has the given name. */
    UNKNOWN_CLASS(404, Executed.NO, 0, "No request class has the given name."),
    /** No allowed backend server serves the model. */
    UNKNOWN_MODEL(404, Executed.NO, 0, "No allowed backend server serves the model."),
    /** No request class leads to the service. */
    UNKNOWN_SERVICE(404, Executed.NO, 0, "No request class leads to the service."),
    /** Nothing is served under the path. */
    NOT_FOUND(404, Executed.NO, 0, "Nothing is served under the path."),
    /** The path does not take the method. */
    METHOD_NOT_ALLOWED(405, Executed.NO, 0, "The path does not take the method."),
    /** The body is larger than the limit. */
    BODY_TOO_LARGE(413, Executed.NO, 0, "The body is larger than the limit."),
    /** The body did not arrive within the time limit. */
    BODY_TIMEOUT(408, Executed.NO, 1, "The body did not arrive within the time limit."),
    /** The client account has used up its limit. */
    ACCOUNT_LIMIT(429, Executed.NO, 1, "The client account has used up its limit."),
    /** The queue of the tier is full. */
    OVERLOADED(503, Executed.NO, 2, "The queue of the tier is full."),
    /** The request waited in the queue longer than its class allows. */
    QUEUE_TIMEOUT(
            503, Executed.NO, 2, "The request waited in the queue longer than its class allows."),
    /** No backend server of the class is in service. */
    NO_BACKEND_SERVER(503, Executed.NO, 2, "No backend server of the class is in service."),
    /** The process has no validated configuration yet. */
    NOT_READY(503, Executed.NO, 1, "The process has no validated configuration yet."),
    /** The process is shutting down and takes no new work. */
    LEAVING(503, Executed.NO, 1, "The process is shutting down and takes no new work."),
    /** Every backend server tried refused the request before starting it. */
    BACKEND_REFUSED(
            503,
            Executed.NO,
            1,
            "Every backend server tried refused the request before starting it."),
    /** The same request, or a part of its prompt, was running when backend servers crashed. */
    CRASHING_REQUEST(
            422,
            Executed.NO,
            60,
            "The same request, or a part of its prompt, was running when backend servers crashed."),
    /** A request that may not be repeated needs a ticket; the answer holds one. */
    TICKET_REQUIRED(
            428,
            Executed.NO,
            0,
            "A request that may not be repeated needs a ticket; the answer holds one."),
    /** The ticket was not issued by an entry VM of this site. */
    TICKET_FORGED(403, Executed.NO, 0, "The ticket was not issued by an entry VM of this site."),
    /** The ticket was issued to another account or used with another body. */
    TICKET_MISMATCH(
            409,
            Executed.NO,
            0,
            "The ticket was issued to another account or used with another body."),
    /** The ticket expired before it was used. */
    TICKET_EXPIRED_UNUSED(410, Executed.NO, 0, "The ticket expired before it was used."),
    /** The ticket expired and its use is no longer known. */
    TICKET_EXPIRED(410, Executed.UNKNOWN, 0, "The ticket expired and its use is no longer known."),
    /** A request with the same ticket is still running. */
    TICKET_IN_PROGRESS(
            409, Executed.UNKNOWN, 1, "A request with the same ticket is still running."),
    /** The request may have run; it was not repeated. */
    OUTCOME_UNKNOWN(504, Executed.UNKNOWN, 0, "The request may have run; it was not repeated."),
    /** The request was started, interrupted and could not be completed. */
    INTERRUPTED(
            503,
            Executed.UNKNOWN,
            2,
            "The request was started, interrupted and could not be completed."),
    /** Backend servers crashed while they ran the request. */
    CRASHED_BACKEND(
            422, Executed.UNKNOWN, 60, "Backend servers crashed while they ran the request."),
    /** The backend server failed while it ran the request. */
    BACKEND_FAILED(502, Executed.UNKNOWN, 1, "The backend server failed while it ran the request."),
    /** The backend server did not answer within the time limit. */
    BACKEND_TIMEOUT(
            504, Executed.UNKNOWN, 1, "The backend server did not answer within the time limit."),
    /** The answer ended without its end marker and could not be resumed. */
    ANSWER_INCOMPLETE(
            502,
            Executed.YES,
            1,
            "The answer ended without its end marker and could not be resumed."),
    /** The backend server answered for another request. */
    ANSWER_MISMATCHED(502, Executed.UNKNOWN, 1, "The backend server answered for another request."),
    /** The caller closed the connection. */
    CALLER_GONE(499, Executed.UNKNOWN, 0, "The caller closed the connection."),
    /** The router failed; see its log. */
    INTERNAL(500, Executed.UNKNOWN, 1, "The router failed; see its log.");

    /** The HTTP status of the response. */
    private final int mHttpStatus;

    /** Whether the request was run. */
    private final Executed mExecuted;

    /** The delay after which the caller may retry, in seconds; 0 if a retry would not help. */
    private final int mRetryAfterSeconds;

    /** The message for the caller. */
    private final String mMessage;

    /**
     * Creates a kind.
     *
     * @param httpStatus the HTTP status of the response
     * @param executed whether the request was run
     * @param retryAfterSeconds the delay after which the caller may retry, in seconds; 0 if a retry
     *     would not help
     * @param message the message for the caller
     */
    ErrorKind(int httpStatus, Executed executed, int retryAfterSeconds, String message) {
        mHttpStatus = httpStatus;
        mExecuted = executed;
        mRetryAfterSeconds = retryAfterSeconds;
        mMessage = message;
    }

    /**
     * Returns the HTTP status of the response.
     *
     * @return the status code
     */
    public int httpStatus() {
        return mHttpStatus;
    }

    /**
     * Returns whether the request was run.
     *
     * @return what is known about the run
     */
    public Executed executed() {
        return mExecuted;
    }

    /**
     * Returns the delay after which the caller may retry.
     *
     * @return the delay in seconds; 0 if a retry would not help
     */
    public int retryAfterSeconds() {
        return mRetryAfterSeconds;
    }

    /**
     * Returns the message for the caller.
     *
     * @return the message
     */
    public String message() {
        return mMessage;
    }

    /**
     * Returns the spelling in responses, logs and metrics.
     *
     * @return the name in lower case
     */
    public String text() {
        return name().toLowerCase(Locale.ROOT);
    }

    /**
     * Returns the kind to report if a byte of the request may have reached a backend server.
     *
     * @return {@link #INTERRUPTED} if this kind states that the request was not run, otherwise this
     *     kind
     */
    public ErrorKind afterStart() {
        return mExecuted == Executed.NO ? INTERRUPTED : this;
    }
}
