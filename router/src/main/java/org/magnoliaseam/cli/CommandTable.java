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
     * @param launcher runs the router where operators publish the files of the site
     * @param storeLauncher runs the router where a metadata store publishes the site
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
     * @param name the word that names it
     * @return the command, if there is one
     */
    public Optional<Command> find(String name) {
        return mCommands.stream().filter(command -> command.name().equals(name)).findFirst();
    }

    /**
     * Returns the words that name the commands.
     *
     * @return the names in the order of the help
     */
    public List<String> names() {
        return mCommands.stream().map(Command::name).toList();
    }
}
