package org.magnoliaseam.catalog;

import org.magnoliaseam.model.ServiceName;

/**
 * Assigns a share of the requests of a route to a service.
 *
 * @param service the name of the service
 * @param weight the share relative to the weights of the other services, more than 0
 */
public record WeightedService(ServiceName service, double weight) {}
