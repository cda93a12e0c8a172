package org.magnoliaseam.platform;

import java.io.IOException;

/** Says that a call to the metadata store gave nothing that can be used. */
final class StoreException extends IOException {

    /** The version for serialization. */
    private static final long serialVersionUID = 1L;

    /** The HTTP status; 0 if there was none. */
    private final int mStatus;

    /**
     * Creates an exception.
     *
     * @param message what happened
     * @param status the HTTP status; 0 if there was none
     */
    StoreException(String message, int status) {
        super(message);
        mStatus = status;
    }

    /**
     * Returns the HTTP status.
     *
     * @return the status; 0 if there was none
     */
    int status() {
        return mStatus;
    }
}
