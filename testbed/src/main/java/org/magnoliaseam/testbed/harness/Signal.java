package org.magnoliaseam.testbed.harness;

/** Lists the signals that tests send to processes. */
public enum Signal {
    /** Pauses the process. */
    STOP,
    /** Lets a paused process go on. */
    CONT,
    /** Asks the process to end. */
    TERM,
    /** Asks the process to read its settings again. */
    HUP,
    /** Ends the process at once. */
    KILL
}
