package org.magnoliaseam.cli;

import org.magnoliaseam.settings.LocalSettings;

/** Runs the router until it is stopped. */
@FunctionalInterface
public interface RouteLauncher {

    /**
     * Runs the router.
     *
     * @param settings the settings of the process
     * @return the exit code of the process
     */
    int run(LocalSettings settings);
}
