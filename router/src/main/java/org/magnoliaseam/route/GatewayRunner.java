package org.magnoliaseam.route;

import java.nio.file.Path;
import java.util.concurrent.CountDownLatch;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.magnoliaseam.settings.StoreSettings;
import sun.misc.Signal;

/**
 * Runs an entry VM, whose site is published by a metadata store, until a signal stops the process.
 */
public final class GatewayRunner {

    /** Logs failed starts. */
    private static final Logger LOG = LogManager.getLogger("route");

    /** The signal that requests a reload of the settings file. */
    private static final String RELOAD_SIGNAL = "HUP";

    /** Prevents instances of this utility class. */
    private GatewayRunner() {}

    /**
     * Runs a process.
     *
     * @param settings the settings of the process
     * @param file the file from which they were read
     * @return 0 after a planned stop, 1 if the process could not start
     */
    public static int run(StoreSettings settings, Path file) {
        try {
            SettingsReloader reload = new SettingsReloader(settings, file);
            // The launcher makes the process ignore the signal; then this has no effect.
            Signal.handle(new Signal(RELOAD_SIGNAL), signal -> reload.check());
            GatewayProcess process = new GatewayFactory(reload).process();
            process.start();
            Runtime.getRuntime()
                    .addShutdownHook(new Thread(() -> stopPlanned(process), "shutdown"));
            new CountDownLatch(1).await();
            return 0;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return 1;
        } catch (Exception e) {
            LOG.error("route: start failed, cause={}", e.getMessage(), e);
            LogManager.shutdown();
            return 1;
        }
    }

    /**
     * Stops the process after a signal and exits with the code of a planned stop.
     *
     * @param process the process
     */
    private static void stopPlanned(GatewayProcess process) {
        process.stop();
        LogManager.shutdown();
        Runtime.getRuntime().halt(0);
    }
}
