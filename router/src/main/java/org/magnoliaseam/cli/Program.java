package org.magnoliaseam.cli;

import java.util.Arrays;
import java.util.Optional;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.ParseException;
import org.magnoliaseam.settings.schema.NearestName;

/** Runs the command that the command line names. */
public final class Program {

    /** The option that asks for help. */
    private static final String HELP = "--help";

    /** The option that asks for the version. */
    private static final String VERSION = "--version";

    /** The commands. */
    private final CommandTable mTable;

    /** The streams to write to. */
    private final Console mConsole;

    /** The version of the program. */
    private final String mVersion;

    /**
     * Creates a program.
     *
     * @param table the commands
     * @param console the streams to write to
     * @param version the version of the program
     */
    public Program(CommandTable table, Console console, String version) {
        mTable = table;
        mConsole = console;
        mVersion = version;
    }

    /**
     * Runs the command that the command line names.
     *
     * @param args the command line without the program's name
     * @return the exit code of the process
     */
    public int run(String... args) {
        if (args.length == 0) {
            return usage("a command is missing");
        }
        if (args[0].equals(HELP)) {
            HelpText.print(mTable, mConsole.out());
            return ExitCode.DONE.code();
        }
        if (args[0].equals(VERSION)) {
            mConsole.out().println(Console.PROGRAM + " " + mVersion);
            return ExitCode.DONE.code();
        }
        Optional<Command> command = mTable.find(args[0]);
        if (command.isEmpty()) {
            String hint = NearestName.hint(args[0], mTable.names());
            return usage("unknown command \"" + args[0] + "\"" + hint);
        }
        return run(command.get(), Arrays.copyOfRange(args, 1, args.length));
    }

    /**
     * Runs a command.
     *
     * @param command the command
     * @param args the command line without the command's name
     * @return the exit code of the process
     */
    private int run(Command command, String[] args) {
        if (Arrays.asList(args).contains(HELP)) {
            HelpText.print(command, mConsole.out());
            return ExitCode.DONE.code();
        }
        try {
            DefaultParser parser = DefaultParser.builder().setAllowPartialMatching(false).get();
            CommandLine line = parser.parse(command.options(), args);
            return command.run(line, mConsole);
        } catch (ParseException | UsageException e) {
            mConsole.error(e.getMessage());
            mConsole.err().println("usage: " + Console.PROGRAM + " " + command.synopsis());
            return ExitCode.USAGE.code();
        }
    }

    /**
     * Writes an error and a line on how to get help.
     *
     * @param message one sentence
     * @return the exit code
     */
    private int usage(String message) {
        mConsole.error(message);
        mConsole.err().println("usage: " + Console.PROGRAM + " COMMAND [OPTION]...; see " + HELP);
        return ExitCode.USAGE.code();
    }
}
