package org.magnoliaseam.testbed;

import java.util.Arrays;
import java.util.Map;
import java.util.TreeMap;
import org.magnoliaseam.testbed.capacity.LoadsCommand;
import org.magnoliaseam.testbed.demo.DemoCommand;
import org.magnoliaseam.testbed.engine.EngineCommand;
import org.magnoliaseam.testbed.ledger.LedgerCommand;
import org.magnoliaseam.testbed.platform.PlatformCommand;
import org.magnoliaseam.testbed.proxy.ProxyCommand;
import org.magnoliaseam.testbed.replay.ExperimentCommand;
import org.magnoliaseam.testbed.replay.ReplayCommand;
import org.magnoliaseam.testbed.replay.TraceCommand;
import org.magnoliaseam.testbed.soak.SoakCommand;

/** Starts one stand-in or tool of the test bed. */
public final class Main {

    /** The exit code for invalid arguments. */
    private static final int INVALID_ARGUMENTS = 2;

    /** The commands by name. */
    private static final Map<String, Subcommand> COMMANDS =
            new TreeMap<>(
                    Map.of(
                            "demo", new DemoCommand(),
                            "platform", new PlatformCommand(),
                            "engine", new EngineCommand(),
                            "ledger", new LedgerCommand(),
                            "loads", new LoadsCommand(),
                            "proxy", new ProxyCommand(),
                            "trace", new TraceCommand(),
                            "replay", new ReplayCommand(),
                            "soak", new SoakCommand(),
                            "experiment", new ExperimentCommand()));

    /** Prevents instances of this entry point. */
    private Main() {}

    /**
     * Runs the program.
     *
     * @param args the command-line arguments, the first one being the command
     */
    public static void main(String[] args) {
        int code = run(args);
        if (code >= 0) {
            System.exit(code);
        }
    }

    /**
     * Runs a command and turns failures into exit codes.
     *
     * @param args the command-line arguments, the first one being the command
     * @return the exit code, or a negative number if the process keeps running until it is
     *     terminated
     */
    private static int run(String[] args) {
        Subcommand command = args.length == 0 ? null : COMMANDS.get(args[0]);
        if (command == null) {
            System.err.println("Usage: testbed COMMAND [OPTION]..., one of " + COMMANDS.keySet());
            return INVALID_ARGUMENTS;
        }
        try {
            return command.run(Arrays.copyOfRange(args, 1, args.length));
        } catch (IllegalArgumentException e) {
            System.err.println(args[0] + ": " + e.getMessage());
            return INVALID_ARGUMENTS;
        } catch (Exception e) {
            System.err.println(args[0] + ": " + e);
            return 1;
        }
    }
}
