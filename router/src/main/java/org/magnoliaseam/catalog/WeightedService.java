package org.magnoliaseam.catalog;

import org.magnoliaseam.model.ServiceName;

/**
 * Names a service that takes a share of the requests of a route.
 *
 * @param service the service
 * @param weight the share relative to the weights of the other services, more than 0
 */
public record WeightedService(ServiceName service, double weight) {}
