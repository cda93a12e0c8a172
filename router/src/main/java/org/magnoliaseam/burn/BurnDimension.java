package org.magnoliaseam.burn;

/** Lists the criteria by which the requests of a class are grouped. */
public enum BurnDimension {
    /** All requests of the class. */
    CLASS,
    /** The requests that missed their targets, by cause. */
    CAUSE,
    /** The requests by client account. */
    ACCOUNT,
    /** The requests by failure domain of the backend server. */
    FAILURE_DOMAIN
}
