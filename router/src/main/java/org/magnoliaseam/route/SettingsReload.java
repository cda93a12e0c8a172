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
 * Reads the settings file again when it has changed. Settings that cannot be used leave the last
 * good ones in force. Addresses take effect only at a start.
 */
final class SettingsReload implements Supplier<StoreSettings> {

    /** Writes reloads. */
    private static final Logger LOG = LogManager.getLogger("settings");

    /** The file. */
    private final Path mFile;

    /** The settings in force. */
    private volatile StoreSettings mSettings;

    /** The time of the last change that was looked at. */
    private FileTime mChanged;

    /**
     * Creates a reload.
     *
     * @param settings the settings in force
     * @param file the file that they came from
     */
    SettingsReload(StoreSettings settings, Path file) {
        mSettings = settings;
        mFile = file;
        mChanged = changed();
    }

    @Override
    public StoreSettings get() {
        return mSettings;
    }

    /**
     * Reads the file if it has changed.
     *
     * @param force whether to read it in any case
     */
    synchronized void check(boolean force) {
        FileTime now = changed();
        if (!force && now.equals(mChanged)) {
            return;
        }
        mChanged = now;
        new StoreSettingsLoader().load(mFile).fold(this::take, SettingsReload::refuse);
    }

    /**
     * Takes settings.
     *
     * @param settings the settings
     * @return null
     */
    private Void take(StoreSettings settings) {
        LOG.info("settings: read again, changed={}", !settings.equals(mSettings));
        mSettings = settings;
        return null;
    }

    /**
     * Reports settings that cannot be used.
     *
     * @param faults what is wrong
     * @return null
     */
    private static Void refuse(List<Fault> faults) {
        faults.forEach(fault -> LOG.error("settings: refused, {}", fault.text()));
        return null;
    }

    /**
     * Returns the time of the last change of the file.
     *
     * @return the time; the beginning of time if there is no file
     */
    private FileTime changed() {
        try {
            return Files.getLastModifiedTime(mFile);
        } catch (IOException e) {
            return FileTime.fromMillis(0);
        }
    }
}
