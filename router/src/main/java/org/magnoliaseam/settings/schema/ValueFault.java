package org.magnoliaseam.settings.schema;

import org.magnoliaseam.settings.toml.Place;

/**
 * Describes why a value cannot be read.
 *
 * @param place the file and line of the value
 * @param reason one sentence that states what is wrong
 */
public record ValueFault(Place place, String reason) {}
