package org.magnoliaseam.settings;

/**
 * Holds a validated configuration with its version and source text.
 *
 * @param version the version that the platform published; higher is newer
 * @param configuration the validated configuration
 * @param text the source, passed on to peers that ask for it
 */
public record VersionedConfiguration(
        long version, Configuration configuration, ConfigurationText text) {}
