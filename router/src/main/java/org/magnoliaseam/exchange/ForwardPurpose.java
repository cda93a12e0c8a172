package org.magnoliaseam.exchange;

/** Lists the reasons for forwarding a request to a peer. */
public enum ForwardPurpose {
    /** The peer issued the ticket of the request; only this peer may run the request. */
    TICKET_HOME,
    /** The peer has capacity for the request while this entry VM has none. */
    HAND_OVER,
    /** An entry VM requests a page for its operators; this is not a caller's request. */
    OPERATOR_QUERY
}
