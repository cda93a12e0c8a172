package org.magnoliaseam.rollout;

/** The outcome of a read of the platform. */
public enum ReadOutcome {
    /** The platform answered, whether or not the resource had changed. */
    ANSWERED,
    /** The platform did not answer. */
    FAILED
}
