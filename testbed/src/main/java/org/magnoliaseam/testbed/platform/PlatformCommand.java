package org.magnoliaseam.testbed.platform;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.magnoliaseam.testbed.Arguments;
import org.magnoliaseam.testbed.CommandLineParser;
import org.magnoliaseam.testbed.Subcommand;
import org.magnoliaseam.testbed.http.Json;
import org.magnoliaseam.testbed.http.ListenAddress;
import org.magnoliaseam.testbed.http.StandInServer;

/** Runs the stand-in for the platform. */
public final class PlatformCommand implements Subcommand {

    @Override
    public int run(String[] args) throws Exception {
        Arguments arguments =
                new CommandLineParser()
                        .required("listen")
                        .optional("configuration", "vms")
                        .parse(args);
        PublishedValues values = new PublishedValues();
        for (String option : arguments.all("configuration")) {
            loadConfiguration(values, option);
        }
        for (String option : arguments.all("vms")) {
            loadVms(values, option);
        }
        ListenAddress address = ListenAddress.parse(arguments.text("listen").orElseThrow());
        new StandInServer(address, new PlatformStandIn(values)).startAndReport();
        return -1;
    }

    /**
     * Publishes version 1 of a configuration from files.
     *
     * @param values the values to publish in
     * @param option the option in the form SITE=BASE,OVERLAY
     * @throws IOException if a file cannot be read
     */
    private static void loadConfiguration(PublishedValues values, String option)
            throws IOException {
        String[] siteAndFiles = split(option, "=");
        String[] files = split(siteAndFiles[1], ",");
        ConfigurationValue value =
                new ConfigurationValue(
                        1,
                        Files.readString(Path.of(files[0])),
                        Files.readString(Path.of(files[1])));
        publish(values, siteAndFiles[0], ValueKind.CONFIGURATION, Json.tree(Json.write(value)));
    }

    /**
     * Publishes a VM list from a file.
     *
     * @param values the values to publish in
     * @param option the option in the form SITE=FILE
     * @throws IOException if the file cannot be read
     */
    private static void loadVms(PublishedValues values, String option) throws IOException {
        String[] siteAndFile = split(option, "=");
        JsonNode list = Json.tree(Files.readString(Path.of(siteAndFile[1])));
        publish(values, siteAndFile[0], ValueKind.VMS, list);
    }

    /**
     * Publishes an initial value, which even a lagging platform shows at once.
     *
     * @param values the values to publish in
     * @param site the site
     * @param kind the kind of value
     * @param value the value
     */
    private static void publish(
            PublishedValues values, String site, ValueKind kind, JsonNode value) {
        values.publish(site, kind, value, Long.MIN_VALUE);
    }

    /**
     * Splits a text in two.
     *
     * @param text the text
     * @param separator the separator
     * @return both parts
     */
    private static String[] split(String text, String separator) {
        String[] parts = text.split(separator, 2);
        if (parts.length != 2) {
            throw new IllegalArgumentException("Missing " + separator + " in " + text);
        }
        return parts;
    }

    /**
     * Holds a configuration as it is served.
     *
     * @param version the version
     * @param base the text of the base file
     * @param overlay the text of the overlay
     */
    public record ConfigurationValue(long version, String base, String overlay) {}
}
