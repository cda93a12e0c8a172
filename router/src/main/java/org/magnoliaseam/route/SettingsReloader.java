package org.magnoliaseam.route;

import java.nio.file.Path;
import java.util.List;
import java.util.function.Supplier;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.magnoliaseam.error.Result;
import org.magnoliaseam.settings.Fault;
import org.magnoliaseam.settings.StoreSettings;
import org.magnoliaseam.settings.load.LoadedStoreSettings;
import org.magnoliaseam.settings.load.SettingsFile;
import org.magnoliaseam.settings.load.StoreSettingsLoader;

/**
 * Reloads the settings file when its content has changed. If the file cannot be used, the settings
 * in force stay; if only the values of optional keys cannot be used, these keep the value in force
 * and the others take effect. Changed addresses take effect only at the next start.
 */
final class SettingsReloader implements Supplier<StoreSettings> {

    /** Logs reloads. */
    private static final Logger LOG = LogManager.getLogger("settings");

    /** The file. */
    private final Path mFile;

    /** The settings in force. */
    private volatile StoreSettings mSettings;

    /** The number of faults that the last check of a changed file found. */
    private volatile int mRefused;

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

    /**
     * Returns how many faults the settings file has.
     *
     * @return the number of faults; 0 if all of the file is in force
     */
    int refused() {
        return mRefused;
    }

    /** Reloads the file if its content has changed since the last check. */
    synchronized void check() {
        try {
            Result<String, Fault> content = SettingsFile.read(mFile);
            if (content.equals(mContent)) {
                return;
            }
            mContent = content;
            new StoreSettingsLoader(mSettings).load(mFile).fold(this::apply, this::refuse);
        } catch (RuntimeException e) {
            LOG.error("settings: the check failed", e);
        }
    }

    /**
     * Puts settings into force.
     *
     * @param loaded the settings
     * @return null
     */
    private Void apply(LoadedStoreSettings loaded) {
        if (!loaded.settings().equals(mSettings)) {
            mSettings = loaded.settings();
            LOG.info("settings: read again, changed=true");
        }
        return refuse(loaded.refused());
    }

    /**
     * Counts and logs the faults of the file.
     *
     * @param faults the faults
     * @return null
     */
    private Void refuse(List<Fault> faults) {
        mRefused = faults.size();
        faults.forEach(fault -> LOG.error("settings: refused, {}", fault.text()));
        return null;
    }
}
