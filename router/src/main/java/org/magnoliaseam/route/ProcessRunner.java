package org.magnoliaseam.route;

import java.net.URI;
import java.net.URISyntaxException;
import java.net.URL;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.apache.logging.log4j.core.config.Configurator;
import org.magnoliaseam.settings.LocalSettings;

/** Runs a router process until a signal stops it. */
public final class ProcessRunner {

    /** The system property that names the file for decision records. */
    private static final String RECORDS_PROPERTY = "magnoliaseam.records";

    /** The log configuration that writes decision records to a file. */
    private static final String FILE_CONFIGURATION = "/log4j2-file.xml";

    /** Prevents instances of this utility class. */
    private ProcessRunner() {}

    /**
     * Runs a process.
     *
     * @param settings the settings of the process
     * @return 0 after a planned stop, 1 if the process could not start
     */
    public static int run(LocalSettings settings) {
        configureLog(settings);
        Logger log = LogManager.getLogger("route");
        try {
            RouteProcess process = DaggerRouteComponent.factory().create(settings).process();
            process.start();
            Thread hook = new Thread(() -> stopPlanned(process), "shutdown");
            Runtime.getRuntime().addShutdownHook(hook);
            process.await();
            return 0;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return 1;
        } catch (Exception e) {
            log.error("route: start failed, cause={}", e.getMessage(), e);
            LogManager.shutdown();
            return 1;
        }
    }

    /**
     * Stops the process after a signal and exits with the code of a planned stop.
     *
     * @param process the process
     */
    private static void stopPlanned(RouteProcess process) {
        process.stop();
        LogManager.shutdown();
        Runtime.getRuntime().halt(0);
    }

    /**
     * Configures logging to write decision records to the file given in the settings, if any.
     *
     * @param settings the settings of the process
     */
    private static void configureLog(LocalSettings settings) {
        if (settings.logFile().isEmpty()) {
            return;
        }
        System.setProperty(RECORDS_PROPERTY, settings.logFile());
        URL configuration = ProcessRunner.class.getResource(FILE_CONFIGURATION);
        try {
            Configurator.reconfigure(new URI(configuration.toString()));
        } catch (URISyntaxException e) {
            throw new IllegalStateException(e);
        }
    }
}
