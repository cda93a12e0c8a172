package org.magnoliaseam.cli;

import java.util.Optional;
import org.magnoliaseam.route.GatewayRunner;
import org.magnoliaseam.route.ProcessRunner;

/** Starts the program with the command that the caller names. */
public final class Main {

    /** The version of a program that was not packaged. */
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
     * Returns the version that the manifest states.
     *
     * @return the version
     */
    private static String version() {
        String stated = Main.class.getPackage().getImplementationVersion();
        return Optional.ofNullable(stated).orElse(UNPACKAGED_VERSION);
    }
}
