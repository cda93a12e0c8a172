package org.magnoliaseam.burn;

import org.magnoliaseam.model.RequestClassId;

/**
 * Identifies a series of counts.
 *
 * @param requestClass the request class
 * @param dimension the criterion by which the requests of the class are grouped
 * @param name the cause, client account or failure domain; empty for all requests of the class
 */
public record BurnKey(RequestClassId requestClass, BurnDimension dimension, String name) {}
