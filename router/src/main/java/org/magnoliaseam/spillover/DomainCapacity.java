package org.magnoliaseam.spillover;

import org.magnoliaseam.model.FailureDomain;

/**
 * Holds the capacity of a failure domain for a service.
 *
 * @param domain the failure domain
 * @param servers the number of its backend servers that may get work
 */
public record DomainCapacity(FailureDomain domain, int servers) {}
