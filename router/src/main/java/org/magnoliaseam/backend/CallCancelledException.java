package org.magnoliaseam.backend;

import java.util.concurrent.CancellationException;

/** Marks a try that the router itself cancelled. */
public final class CallCancelledException extends CancellationException {

    /** The version of the serialized form. */
    private static final long serialVersionUID = 1L;

    /** Creates the exception. */
    public CallCancelledException() {
        super("cancelled by the router");
    }
}
