package org.magnoliaseam.cli;

import java.io.PrintStream;
import org.apache.commons.cli.Option;

/** Prints the help of the program and of its commands. */
final class HelpText {

    /** The format of a line with the name of an option and its description. */
    private static final String ENTRY = "  %-24s %s%n";

    /** Prevents instances of this utility class. */
    private HelpText() {}

    /**
     * Prints the help of the program.
     *
     * @param table the commands
     * @param out the stream to write to
     */
    static void print(CommandTable table, PrintStream out) {
        out.println("Routes language-model traffic with service levels and priorities.");
        out.println();
        out.println("usage: " + Console.PROGRAM + " COMMAND [OPTION]...");
        out.println();
        out.println("commands:");
        for (Command command : table.commands()) {
            out.println("  " + command.synopsis());
            out.println("      " + command.description());
        }
        out.println();
        out.println("options:");
        out.printf(ENTRY, "--help", "prints this help, or that of a command");
        out.printf(ENTRY, "--version", "prints the version");
        out.println();
        out.println("exit codes: 0 done, 1 failed, 2 usage or bad input");
    }

    /**
     * Prints the help of a command.
     *
     * @param command the command
     * @param out the stream to write to
     */
    static void print(Command command, PrintStream out) {
        out.println("usage: " + Console.PROGRAM + " " + command.synopsis());
        out.println();
        out.println(command.description());
        out.println();
        out.println("options:");
        for (Option option : command.options().getOptions()) {
            String name = "--" + option.getLongOpt() + " " + option.getArgName();
            out.printf(ENTRY, name, option.getDescription());
        }
    }
}
