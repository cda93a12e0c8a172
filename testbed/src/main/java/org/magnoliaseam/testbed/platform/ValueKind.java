package org.magnoliaseam.testbed.platform;

/** Lists the kinds of values that the platform publishes for each site. */
public enum ValueKind {
    /** The base file and the overlay. */
    CONFIGURATION,
    /** The list of live and leaving VMs. */
    VMS
}
