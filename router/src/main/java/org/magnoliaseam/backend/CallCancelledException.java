package org.magnoliaseam.backend;

import java.util.concurrent.CancellationException;

/** Marks an attempt that was cancelled by the router itself. */
public final class CallCancelledException extends CancellationException {

    /** The version of the serialized form. */
    private static final long serialVersionUID = 1L;

    /** Creates the exception. */
    public CallCancelledException() {
        super("cancelled by the router");
    }
}
