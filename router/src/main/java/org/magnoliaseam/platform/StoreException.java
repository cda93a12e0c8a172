package org.magnoliaseam.platform;

/** Thrown if a call to the metadata store fails or returns an unusable response. */
final class StoreException extends RuntimeException {

    /** The version of the serialized form. */
    private static final long serialVersionUID = 1L;

    /** The HTTP status; 0 if there was no response. */
    private final int mStatus;

    /**
     * Creates an exception.
     *
     * @param message the reason
     * @param status the HTTP status; 0 if there was no response
     */
    StoreException(String message, int status) {
        super(message);
        mStatus = status;
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
