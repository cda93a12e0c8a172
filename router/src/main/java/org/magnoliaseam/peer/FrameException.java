package org.magnoliaseam.peer;

/** Reports a frame that cannot be accepted. */
final class FrameException extends Exception {

    /** The reason. */
    private final FrameFault mFault;

    /**
     * Creates an exception.
     *
     * @param fault the reason
     */
    FrameException(FrameFault fault) {
        super(fault.text(), null, false, false);
        mFault = fault;
    }

    /**
     * Returns the reason.
     *
     * @return the fault
     */
    FrameFault fault() {
        return mFault;
    }
}
