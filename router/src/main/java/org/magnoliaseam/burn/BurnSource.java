package org.magnoliaseam.burn;

import org.magnoliaseam.model.VmId;

/**
 * Identifies an entry VM whose counts are in a report.
 *
 * @param vm the entry VM
 * @param coveredSeconds the time in seconds since it started counting; longer windows cover only
 *     this time
 */
public record BurnSource(VmId vm, long coveredSeconds) {}
