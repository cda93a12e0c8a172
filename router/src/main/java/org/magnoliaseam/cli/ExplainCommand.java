package org.magnoliaseam.cli;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Options;
import org.magnoliaseam.model.Identifiers;
import org.magnoliaseam.model.RequestId;

/** Explains what happened to a request. */
final class ExplainCommand implements Command {

    /** The option that names a file of decision records. */
    private static final String LOG = "log";

    /** The start of the path of the explanation. */
    private static final String PATH = "/explain/";

    /** Renders decision records. */
    private final DecisionRenderer mRenderer;

    /**
     * Creates a command.
     *
     * @param renderer renders decision records
     */
    ExplainCommand(DecisionRenderer renderer) {
        mRenderer = renderer;
    }

    @Override
    public String name() {
        return "explain";
    }

    @Override
    public String synopsis() {
        return "explain REQUEST-ID (--address HOST:PORT | --log FILE)";
    }

    @Override
    public String description() {
        return "Explains what happened to a request and why.";
    }

    @Override
    public Options options() {
        return new Options()
                .addOption(
                        CommandOptions.optional(
                                CommandOptions.ADDRESS,
                                "HOST:PORT",
                                "the operators' port of an entry VM"))
                .addOption(CommandOptions.optional(LOG, "FILE", "a file of decision records"));
    }

    @Override
    public int run(CommandLine line, Console console) throws UsageException {
        RequestId id = requestId(line);
        if (line.hasOption(LOG) == line.hasOption(CommandOptions.ADDRESS)) {
            throw new UsageException("explain needs either --address or --log");
        }
        if (line.hasOption(LOG)) {
            return search(CommandOptions.file(line, LOG), id, console);
        }
        return new PagePrinter(console).print(line, PATH + id);
    }

    /**
     * Reads the identifier of the request. A caller may choose any text, which only a file can be
     * searched for; the operators' port knows the identifiers that the router itself assigned.
     *
     * @param line the command line
     * @return the identifier
     * @throws UsageException if there is not exactly one well-formed identifier
     */
    private static RequestId requestId(CommandLine line) throws UsageException {
        List<String> arguments = line.getArgList();
        if (arguments.size() != 1) {
            throw new UsageException("explain needs one REQUEST-ID");
        }
        String id = arguments.get(0);
        if (!(line.hasOption(LOG) ? Identifiers.isText(id) : Identifiers.isValid(id))) {
            throw new UsageException("malformed REQUEST-ID \"" + id + "\"");
        }
        return new RequestId(id);
    }

    /**
     * Finds the records of a request in a file and prints them.
     *
     * @param file the file
     * @param id the identifier of the request
     * @param console the streams to write to
     * @return the exit code
     */
    private int search(Path file, RequestId id, Console console) {
        DecisionLog log = new DecisionLog(file);
        String notice = "reading " + file;
        try (SlowNotice ignored = new SlowNotice(console, notice, SlowNotice.DELAY)) {
            List<JsonNode> records = log.find(id);
            if (!records.isEmpty()) {
                console.out().println(mRenderer.render(records));
            }
            if (log.skippedLines() > 0) {
                console.error("lines that are not decision records: " + log.skippedLines());
            }
            if (records.isEmpty()) {
                console.error("no decision record of " + id + " in " + file);
                return ExitCode.FAILED.code();
            }
            return ExitCode.DONE.code();
        } catch (IOException e) {
            console.error("cannot read " + file);
            return ExitCode.USAGE.code();
        }
    }
}
