package org.magnoliaseam.platform;

import java.io.IOException;
import java.net.ConnectException;
import java.net.SocketTimeoutException;

/** Thrown if a call to the metadata store fails or returns an unusable response. */
final class StoreException extends RuntimeException {

    /** The version of the serialized form. */
    private static final long serialVersionUID = 1L;

    /** The HTTP status; 0 if there was no response. */
    private final int mStatus;

    /** Whether the store ended the connection of the call. */
    private final boolean mConnectionEnded;

    /** Whether the response was larger than the client accepts. */
    private final boolean mTooLarge;

    /**
     * Creates an exception.
     *
     * @param message the reason
     * @param status the HTTP status; 0 if there was no response
     */
    StoreException(String message, int status) {
        super(message);
        mStatus = status;
        mConnectionEnded = false;
        mTooLarge = false;
    }

    /**
     * Creates an exception for a call without a whole response.
     *
     * @param failure why there was none
     */
    StoreException(Throwable failure) {
        super(failure.getClass().getSimpleName());
        mStatus = 0;
        mConnectionEnded =
                failure instanceof IOException
                        && !(failure instanceof ConnectException)
                        && !(failure instanceof SocketTimeoutException);
        // Jetty's own subclasses of this exception report malformed responses.
        mTooLarge = failure.getClass() == IllegalArgumentException.class;
    }

    /**
     * Tells whether the store ended the connection of the call.
     *
     * @return false if the call was not connected, timed out or was answered
     */
    boolean connectionEnded() {
        return mConnectionEnded;
    }

    /**
     * Tells whether the response was larger than the client accepts.
     *
     * @return true if so
     */
    boolean tooLarge() {
        return mTooLarge;
    }

    /**
     * Returns the HTTP status.
     *
     * @return the status; 0 if there was no response
     */
    int status() {
        return mStatus;
    }
}
