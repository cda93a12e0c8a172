package org.magnoliaseam.settings.schema;

import org.magnoliaseam.settings.toml.SourceLocation;

/**
 * Describes why a value cannot be read.
 *
 * @param location the file and line of the value
 * @param reason one sentence that states what is wrong
 */
public record ValueFault(SourceLocation location, String reason) {}
