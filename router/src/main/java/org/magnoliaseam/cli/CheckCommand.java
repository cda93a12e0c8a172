package org.magnoliaseam.cli;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.stream.Collectors;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Options;
import org.magnoliaseam.error.Result;
import org.magnoliaseam.settings.Configuration;
import org.magnoliaseam.settings.ConfigurationText;
import org.magnoliaseam.settings.Fault;
import org.magnoliaseam.settings.load.SettingsFile;
import org.magnoliaseam.settings.load.TomlConfigurationLoader;

/** Checks a base file and an overlay as the router would. */
final class CheckCommand implements Command {

    /** The option that names the base file. */
    private static final String BASE = "base";

    /** The option that names the overlay. */
    private static final String OVERLAY = "overlay";

    /** The version that marks a configuration as not published. */
    private static final long UNPUBLISHED = 0;

    @Override
    public String name() {
        return "check";
    }

    @Override
    public String synopsis() {
        return "check --base FILE --overlay FILE";
    }

    @Override
    public String description() {
        return "Checks a base file and an overlay; prints the digest or every fault.";
    }

    @Override
    public Options options() {
        return new Options()
                .addOption(CommandOptions.required(BASE, "FILE", "the base file"))
                .addOption(CommandOptions.required(OVERLAY, "FILE", "the overlay of a site"));
    }

    @Override
    public int run(CommandLine line, Console console) throws UsageException {
        CommandOptions.requireNoArguments(line);
        Path base = CommandOptions.file(line, BASE);
        Path overlay = CommandOptions.file(line, OVERLAY);
        return load(base, overlay)
                .fold(
                        configuration -> summarize(configuration, console),
                        faults -> report(faults, console));
    }

    /**
     * Loads both files.
     *
     * @param base the base file
     * @param overlay the overlay
     * @return the configuration, or all faults found
     */
    private static Result<Configuration, List<Fault>> load(Path base, Path overlay) {
        List<Fault> unreadable = new ArrayList<>();
        String baseText = text(base, unreadable);
        String overlayText = text(overlay, unreadable);
        if (!unreadable.isEmpty()) {
            return Result.err(unreadable);
        }
        return new TomlConfigurationLoader(base.toString(), overlay.toString())
                .load(new ConfigurationText(UNPUBLISHED, baseText, overlayText));
    }

    /**
     * Reads one file.
     *
     * @param file the file
     * @param unreadable receives the fault if the file cannot be read
     * @return the text; empty if the file cannot be read
     */
    private static String text(Path file, List<Fault> unreadable) {
        return SettingsFile.read(file)
                .fold(
                        text -> text,
                        fault -> {
                            unreadable.add(fault);
                            return "";
                        });
    }

    /**
     * Writes the digest and a summary.
     *
     * @param configuration the configuration
     * @param console the streams to write to
     * @return the exit code
     */
    private static int summarize(Configuration configuration, Console console) {
        console.out().println("digest " + configuration.digest());
        console.out()
                .println(
                        "classes %d, backend servers %d, accounts %d"
                                .formatted(
                                        configuration.classes().size(),
                                        configuration.backendServers().size(),
                                        configuration.accounts().size()));
        console.out()
                .println(
                        "out of service: failure domains %s; VMs %s; backend servers %s"
                                .formatted(
                                        names(configuration.outOfService().failureDomains()),
                                        names(configuration.outOfService().vms()),
                                        names(configuration.outOfService().backendServers())));
        return ExitCode.DONE.code();
    }

    /**
     * Joins names.
     *
     * @param ids the identifiers
     * @return the names, or "none"
     */
    private static String names(Collection<?> ids) {
        return ids.isEmpty()
                ? "none"
                : ids.stream().map(Object::toString).collect(Collectors.joining(", "));
    }

    /**
     * Writes one line for each fault.
     *
     * @param faults the faults
     * @param console the streams to write to
     * @return the exit code
     */
    private static int report(List<Fault> faults, Console console) {
        faults.forEach(fault -> console.out().println(fault.text()));
        return ExitCode.USAGE.code();
    }
}
