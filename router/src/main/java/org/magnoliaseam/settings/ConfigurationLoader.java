package org.magnoliaseam.settings;

import java.util.List;
import org.magnoliaseam.error.Result;

/** Validates the source text of a configuration. */
@FunctionalInterface
public interface ConfigurationLoader {

    /**
     * Merges and checks a base file and an overlay.
     *
     * @param text the source text
     * @return the configuration, or all faults found
     */
    Result<Configuration, List<Fault>> load(ConfigurationText text);
}
