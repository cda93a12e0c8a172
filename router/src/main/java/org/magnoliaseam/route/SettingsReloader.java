package org.magnoliaseam.route;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.FileTime;
import java.util.List;
import java.util.function.Supplier;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.magnoliaseam.settings.Fault;
import org.magnoliaseam.settings.StoreSettings;
import org.magnoliaseam.settings.load.StoreSettingsLoader;

/**
 * Reloads the settings file when it has changed. If the new settings are invalid, the last valid
 * ones stay in force. Changed addresses take effect only at the next start.
 */
final class SettingsReloader implements Supplier<StoreSettings> {

    /** Logs reloads. */
    private static final Logger LOG = LogManager.getLogger("settings");

    /** The file. */
    private final Path mFile;

    /** The settings in force. */
    private volatile StoreSettings mSettings;

    /** The modification time of the file at the last check. */
    private FileTime mModified;

    /**
     * Creates a reloader.
     *
     * @param settings the settings in force
     * @param file the file from which they were read
     */
    SettingsReloader(StoreSettings settings, Path file) {
        mSettings = settings;
        mFile = file;
        mModified = modificationTime();
    }

    @Override
    public StoreSettings get() {
        return mSettings;
    }

    /**
     * Reloads the file if it has changed.
     *
     * @param force whether to reload it even if it has not changed
     */
    synchronized void check(boolean force) {
        FileTime now = modificationTime();
        if (!force && now.equals(mModified)) {
            return;
        }
        mModified = now;
        new StoreSettingsLoader().load(mFile).fold(this::apply, SettingsReloader::logFaults);
    }

    /**
     * Puts settings into force.
     *
     * @param settings the settings
     * @return null
     */
    private Void apply(StoreSettings settings) {
        LOG.info("settings: read again, changed={}", !settings.equals(mSettings));
        mSettings = settings;
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

    /**
     * Returns the modification time of the file.
     *
     * @return the time; the start of 1970 if the file cannot be accessed
     */
    private FileTime modificationTime() {
        try {
            return Files.getLastModifiedTime(mFile);
        } catch (IOException e) {
            return FileTime.fromMillis(0);
        }
    }
}
