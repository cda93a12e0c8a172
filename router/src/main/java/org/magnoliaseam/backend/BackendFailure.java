package org.magnoliaseam.backend;

import org.magnoliaseam.error.ErrorKind;

/** Lists the ways in which an attempt at a backend server fails. */
public enum BackendFailure {
    /** No connection could be made; no byte was sent. */
    NOT_SENT(false, false, ErrorKind.BACKEND_REFUSED),
    /** Before its first byte was sent, the attempt was cancelled or its conditions had changed. */
    HELD_BACK(false, false, ErrorKind.BACKEND_REFUSED),
    /** The backend server stated that it refused the request without starting it. */
    REFUSED(false, false, ErrorKind.BACKEND_REFUSED),
    /** The connection was lost after a byte may have been sent. */
    CONNECTION_LOST(true, true, ErrorKind.BACKEND_FAILED),
    /** The backend server answered with a server error. */
    SERVER_ERROR(true, false, ErrorKind.BACKEND_FAILED),
    /** The response did not complete within the time limit. */
    TIMEOUT(true, false, ErrorKind.BACKEND_TIMEOUT),
    /** The response is incomplete, for example a stream without its end marker. */
    INCOMPLETE(true, false, ErrorKind.ANSWER_INCOMPLETE),
    /** The response belongs to another request or is not signed by the backend server. */
    MISMATCHED(true, false, ErrorKind.ANSWER_MISMATCHED);

    /** Whether the backend server may have run the request. */
    private final boolean mMayHaveRun;

    /** Whether a crash of the backend server may have caused the failure. */
    private final boolean mMayBeCrash;

    /** The error kind of the refusal if no other attempt follows. */
    private final ErrorKind mErrorKind;

    /**
     * Creates a failure.
     *
     * @param mayHaveRun whether the backend server may have run the request
     * @param mayBeCrash whether a crash of the backend server may have caused the failure
     * @param errorKind the error kind of the refusal if no other attempt follows
     */
    BackendFailure(boolean mayHaveRun, boolean mayBeCrash, ErrorKind errorKind) {
        mMayHaveRun = mayHaveRun;
        mMayBeCrash = mayBeCrash;
        mErrorKind = errorKind;
    }

    /**
     * Returns whether the backend server may have run the request.
     *
     * @return false only if it certainly has not
     */
    public boolean mayHaveRun() {
        return mMayHaveRun;
    }

    /**
     * Returns whether a crash of the backend server may have caused the failure.
     *
     * @return true for lost connections
     */
    public boolean mayBeCrash() {
        return mMayBeCrash;
    }

    /**
     * Returns the error kind of the refusal if no other attempt follows.
     *
     * @return the error kind
     */
    public ErrorKind errorKind() {
        return mErrorKind;
    }
}
