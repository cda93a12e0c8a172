package org.magnoliaseam.fleet;

/** The state of an entry VM in the platform's list. */
public enum MemberState {
    /** The VM is in service. */
    LIVE,
    /** The VM is about to stop. */
    LEAVING
}
