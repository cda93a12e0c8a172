package org.magnoliaseam.cli;

import java.nio.file.Path;
import org.magnoliaseam.settings.StoreSettings;

/** Runs the router at a site that a metadata store publishes. */
@FunctionalInterface
public interface StoreRouteLauncher {

    /**
     * Runs the router until it is stopped.
     *
     * @param settings the settings of the process
     * @param file the settings file, which is read again when it changes
     * @return the exit code of the process
     */
    int run(StoreSettings settings, Path file);
}
