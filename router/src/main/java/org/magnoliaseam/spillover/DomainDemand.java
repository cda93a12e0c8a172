package org.magnoliaseam.spillover;

import java.util.List;
import org.magnoliaseam.model.FailureDomain;
import org.magnoliaseam.model.ServiceName;

/**
 * Holds the demand for a service that arrives at one entry VM.
 *
 * @param service the service
 * @param domain the failure domain of the entry VM
 * @param servers the work that arrives per second, in backend servers that it keeps busy
 * @param sent the part of it that the entry VM sends to other failure domains
 */
public record DomainDemand(
        ServiceName service, FailureDomain domain, double servers, List<Crossing> sent) {}
