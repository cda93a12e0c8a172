package org.magnoliaseam.suspect;

/** The treatment of a request after crashes of backend servers. */
public enum SuspectVerdict {
    /** The request runs without restrictions. */
    FREE,
    /**
     * The request ran during one crash, or its period of refusal is over; it may run isolated from
     * other guarded requests.
     */
    GUARDED,
    /** The request is expected to crash a backend server; one may run isolated as a trial. */
    TRIAL,
    /** The request ran during two or more crashes and is refused. */
    REFUSED
}
