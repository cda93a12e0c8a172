package org.magnoliaseam.cli;

import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Options;

/** Prints the state of an entry VM. */
final class StatusCommand implements Command {

    /** The path of the page that holds the state. */
    private static final String PATH = "/status";

    @Override
    public String name() {
        return "status";
    }

    @Override
    public String synopsis() {
        return "status --address HOST:PORT";
    }

    @Override
    public String description() {
        return "Prints the state of an entry VM.";
    }

    @Override
    public Options options() {
        return CommandOptions.withAddress();
    }

    @Override
    public int run(CommandLine line, Console console) throws UsageException {
        CommandOptions.requireNoArguments(line);
        return new PagePrinter(console).print(line, PATH);
    }
}
