package org.magnoliaseam.testbed.harness;

/** Lists the signals that tests send to processes. */
public enum Signal {
    /** Suspends the process. */
    STOP,
    /** Resumes a suspended process. */
    CONT,
    /** Requests the process to end. */
    TERM,
    /** Requests the process to reload its settings. */
    HUP,
    /** Kills the process. */
    KILL
}
