package org.magnoliaseam.cli;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Options;

/** Prints or saves the report on service-level burn. */
final class BurnCommand implements Command {

    /** The option that names the format. */
    private static final String FORMAT = "format";

    /** The option that names the file to write. */
    private static final String OUT = "out";

    /** The accepted formats; the first one is the default. */
    private static final List<String> FORMATS = List.of("text", "json", "html");

    /** The path of the report, up to the name of the format. */
    private static final String PATH = "/burn?format=";

    @Override
    public String name() {
        return "burn";
    }

    @Override
    public String synopsis() {
        return "burn --address HOST:PORT [--format text|json|html] [--out FILE]";
    }

    @Override
    public String description() {
        return "Prints the report on service-level burn by class.";
    }

    @Override
    public Options options() {
        return CommandOptions.withAddress()
                .addOption(CommandOptions.optional(FORMAT, "FORMAT", "text, json or html"))
                .addOption(CommandOptions.optional(OUT, "FILE", "the file to write"));
    }

    @Override
    public int run(CommandLine line, Console console) throws UsageException {
        CommandOptions.requireNoArguments(line);
        String format = line.getOptionValue(FORMAT, FORMATS.get(0));
        if (!FORMATS.contains(format)) {
            throw new UsageException("--format must be text, json or html, not \"" + format + "\"");
        }
        PagePrinter printer = new PagePrinter(console);
        if (!line.hasOption(OUT)) {
            return printer.print(line, PATH + format);
        }
        Path file = CommandOptions.file(line, OUT);
        return printer.read(line, PATH + format)
                .fold(body -> save(file, body, console), printer::fail);
    }

    /**
     * Saves the report.
     *
     * @param file the file to write
     * @param body the report
     * @param console the streams to write to
     * @return the exit code
     */
    private static int save(Path file, String body, Console console) {
        try {
            Files.writeString(file, body);
            return ExitCode.DONE.code();
        } catch (IOException e) {
            console.error("cannot write " + file);
            return ExitCode.FAILED.code();
        }
    }
}
