package org.magnoliaseam.testbed.harness;

import java.net.URISyntaxException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/** Builds the command lines of the processes of a site. */
final class Programs {

    /** The system property with the path of the router's executable. */
    private static final String BINARY = "magnoliaseam.binary";

    /** The system property with the path of the test bed's jar. */
    private static final String TESTBED = "magnoliaseam.testbed";

    /** The options of the Java runtime for stand-ins. */
    private static final List<String> JAVA_OPTIONS =
            List.of(
                    "-Xms16m",
                    "-Xmx192m",
                    "-XX:+UseSerialGC",
                    "-XX:TieredStopAtLevel=1",
                    "-Xshare:auto",
                    "-Dlog4j2.level=OFF");

    /** Prevents instances of this utility class. */
    private Programs() {}

    /**
     * Returns the command line of a router.
     *
     * @param settings the settings file
     * @return the command line
     */
    static List<String> route(Path settings) {
        String binary = System.getProperty(BINARY);
        if (binary == null) {
            throw new IllegalStateException("The system property " + BINARY + " is not set");
        }
        return List.of(binary, "route", "--settings", settings.toString());
    }

    /**
     * Returns the command line of a stand-in.
     *
     * @param arguments the command of the test bed and its options
     * @return the command line
     */
    static List<String> standIn(List<String> arguments) {
        List<String> command = new ArrayList<>();
        command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
        command.addAll(JAVA_OPTIONS);
        command.addAll(List.of("-jar", System.getProperty(TESTBED, ownJar())));
        command.addAll(arguments);
        return command;
    }

    /**
     * Returns the jar that this class was loaded from.
     *
     * @return the path
     */
    private static String ownJar() {
        try {
            return Path.of(
                            Programs.class
                                    .getProtectionDomain()
                                    .getCodeSource()
                                    .getLocation()
                                    .toURI())
                    .toString();
        } catch (URISyntaxException e) {
            throw new IllegalStateException(e);
        }
    }
}
