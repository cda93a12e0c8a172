package org.magnoliaseam.settings.load;

import java.util.List;
import org.magnoliaseam.settings.Fault;
import org.magnoliaseam.settings.StoreSettings;

/**
 * Holds settings that were loaded from a file.
 *
 * @param settings the settings
 * @param refused the faults of optional keys, in whose place other values are used
 */
public record LoadedStoreSettings(StoreSettings settings, List<Fault> refused) {}
