package org.magnoliaseam.settings;

/**
 * Holds the source text of one published configuration.
 *
 * @param version the version that the platform published; higher is newer
 * @param base the TOML text of the base file
 * @param overlay the TOML text of the overlay
 */
public record ConfigurationText(long version, String base, String overlay) {}
