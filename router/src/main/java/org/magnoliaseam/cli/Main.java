package org.magnoliaseam.cli;

import java.util.Optional;
import org.magnoliaseam.route.GatewayRunner;
import org.magnoliaseam.route.ProcessRunner;

/** Contains the entry point of the program. */
public final class Main {

    /** The version that is printed if the program was not packaged. */
    private static final String UNPACKAGED_VERSION = "unpackaged";

    /** Prevents instances of this entry point. */
    private Main() {}

    /**
     * Runs the program.
     *
     * @param args the command line without the program's name
     */
    public static void main(String[] args) {
        Console console = new Console(System.out, System.err);
        CommandTable table =
                new CommandTable(
                        ProcessRunner::run, GatewayRunner::run, new TextDecisionRenderer());
        System.exit(new Program(table, console, version()).run(args));
    }

    /**
     * Returns the version from the manifest.
     *
     * @return the version
     */
    private static String version() {
        String manifestVersion = Main.class.getPackage().getImplementationVersion();
        return Optional.ofNullable(manifestVersion).orElse(UNPACKAGED_VERSION);
    }
}
