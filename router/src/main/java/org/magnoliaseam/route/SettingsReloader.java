package org.magnoliaseam.route;

import java.nio.file.Path;
import java.util.List;
import java.util.function.Supplier;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.magnoliaseam.error.Result;
import org.magnoliaseam.settings.Fault;
import org.magnoliaseam.settings.StoreSettings;
import org.magnoliaseam.settings.load.SettingsFile;
import org.magnoliaseam.settings.load.StoreSettingsLoader;

/**
 * Reloads the settings file when its content has changed. If the new settings are invalid, the last
 * valid ones stay in force. Changed addresses take effect only at the next start.
 */
final class SettingsReloader implements Supplier<StoreSettings> {

    /** Logs reloads. */
    private static final Logger LOG = LogManager.getLogger("settings");

    /** The file. */
    private final Path mFile;

    /** The settings in force. */
    private volatile StoreSettings mSettings;

    /** The content of the file at the last check, or why it had none; null before the first. */
    private Result<String, Fault> mContent;

    /**
     * Creates a reloader.
     *
     * @param settings the settings in force
     * @param file the file from which they were read
     */
    SettingsReloader(StoreSettings settings, Path file) {
        mSettings = settings;
        mFile = file;
    }

    @Override
    public StoreSettings get() {
        return mSettings;
    }

    /** Reloads the file if its content has changed since the last check. */
    synchronized void check() {
        try {
            Result<String, Fault> content = SettingsFile.read(mFile);
            if (content.equals(mContent)) {
                return;
            }
            mContent = content;
            new StoreSettingsLoader().load(mFile).fold(this::apply, SettingsReloader::logFaults);
        } catch (RuntimeException e) {
            LOG.error("settings: the check failed", e);
        }
    }

    /**
     * Puts settings into force.
     *
     * @param settings the settings
     * @return null
     */
    private Void apply(StoreSettings settings) {
        if (!settings.equals(mSettings)) {
            mSettings = settings;
            LOG.info("settings: read again, changed=true");
        }
        return null;
    }

    /**
     * Logs why settings are invalid.
     *
     * @param faults the faults of the settings
     * @return null
     */
    private static Void logFaults(List<Fault> faults) {
        faults.forEach(fault -> LOG.error("settings: refused, {}", fault.text()));
        return null;
    }
}
