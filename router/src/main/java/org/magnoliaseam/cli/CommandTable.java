package org.magnoliaseam.cli;

import java.util.List;
import java.util.Optional;

/** Lists the commands of the program. */
public final class CommandTable {

    /** The commands in the order of the help. */
    private final List<Command> mCommands;

    /**
     * Creates the table.
     *
     * @param launcher runs the router at a site whose configuration files are published by
     *     operators
     * @param storeLauncher runs the router at a site that a metadata store publishes
     * @param renderer renders decision records
     */
    public CommandTable(
            RouteLauncher launcher, StoreRouteLauncher storeLauncher, DecisionRenderer renderer) {
        mCommands =
                List.of(
                        new RouteCommand(launcher, storeLauncher),
                        new CheckCommand(),
                        new StatusCommand(),
                        new BurnCommand(),
                        new ExplainCommand(renderer));
    }

    /**
     * Returns all commands.
     *
     * @return the commands in the order of the help
     */
    public List<Command> commands() {
        return mCommands;
    }

    /**
     * Finds a command.
     *
     * @param name the name of the command on the command line
     * @return the command, or empty if there is none
     */
    public Optional<Command> find(String name) {
        return mCommands.stream().filter(command -> command.name().equals(name)).findFirst();
    }

    /**
     * Returns the names of all commands.
     *
     * @return the names in the order of the help
     */
    public List<String> names() {
        return mCommands.stream().map(Command::name).toList();
    }
}
