package org.magnoliaseam.cli;

import java.nio.file.Path;
import java.util.List;
import java.util.Locale;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Options;
import org.magnoliaseam.settings.Fault;
import org.magnoliaseam.settings.load.LocalSettingsLoader;
import org.magnoliaseam.settings.load.StoreSettingsLoader;

/** Runs the router. */
final class RouteCommand implements Command {

    /** The option that names the local settings file. */
    private static final String SETTINGS = "settings";

    /** The option that names the publisher of the site. */
    private static final String PUBLISHER = "publisher";

    /** Runs the router at a site whose configuration files are published by operators. */
    private final RouteLauncher mLauncher;

    /** Runs the router at a site that a metadata store publishes. */
    private final StoreRouteLauncher mStoreLauncher;

    /** Lists what may publish the routes and backend servers of a site. */
    private enum Publisher {
        /** The operators' base file and overlay. */
        FILES,
        /** A metadata store, in which backend servers register themselves. */
        STORE;

        /**
         * Returns the name on the command line.
         *
         * @return the name in lower case
         */
        String text() {
            return name().toLowerCase(Locale.ROOT);
        }
    }

    /**
     * Creates a command.
     *
     * @param launcher runs the router at a site whose configuration files are published by
     *     operators
     * @param storeLauncher runs the router at a site that a metadata store publishes
     */
    RouteCommand(RouteLauncher launcher, StoreRouteLauncher storeLauncher) {
        mLauncher = launcher;
        mStoreLauncher = storeLauncher;
    }

    @Override
    public String name() {
        return "route";
    }

    @Override
    public String synopsis() {
        return "route --settings FILE [--publisher files|store]";
    }

    @Override
    public String description() {
        return "Runs the router on an entry VM until it is stopped.";
    }

    @Override
    public Options options() {
        return new Options()
                .addOption(CommandOptions.required(SETTINGS, "FILE", "the local settings file"))
                .addOption(
                        CommandOptions.optional(
                                PUBLISHER, "WORD", "what publishes the site: files or store"));
    }

    @Override
    public int run(CommandLine line, Console console) throws UsageException {
        CommandOptions.requireNoArguments(line);
        Path file = CommandOptions.file(line, SETTINGS);
        if (publisher(line) == Publisher.STORE) {
            return new StoreSettingsLoader()
                    .load(file)
                    .fold(
                            loaded -> {
                                report(loaded.refused(), console);
                                return mStoreLauncher.run(loaded.settings(), file);
                            },
                            faults -> report(faults, console));
        }
        return new LocalSettingsLoader()
                .load(file)
                .fold(mLauncher::run, faults -> report(faults, console));
    }

    /**
     * Reads the publisher of the site.
     *
     * @param line the command line
     * @return the publisher; {@link Publisher#FILES} by default
     * @throws UsageException if the publisher is unknown
     */
    private static Publisher publisher(CommandLine line) throws UsageException {
        String word = line.getOptionValue(PUBLISHER, Publisher.FILES.text());
        for (Publisher publisher : Publisher.values()) {
            if (publisher.text().equals(word)) {
                return publisher;
            }
        }
        throw new UsageException("--" + PUBLISHER + " must be files or store, not " + word);
    }

    /**
     * Writes the faults of the settings file.
     *
     * @param faults the faults
     * @param console the streams to write to
     * @return the exit code
     */
    private static int report(List<Fault> faults, Console console) {
        faults.forEach(fault -> console.err().println(fault.text()));
        return ExitCode.USAGE.code();
    }
}
