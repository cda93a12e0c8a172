package org.magnoliaseam.testbed.replay;

import java.io.IOException;
import java.nio.file.Path;
import org.magnoliaseam.testbed.Arguments;
import org.magnoliaseam.testbed.CommandLineParser;
import org.magnoliaseam.testbed.Subcommand;

/** Generates a trace in one of the two shapes. */
public final class TraceCommand implements Subcommand {

    /** The length of a trace in seconds, unless an option changes it. */
    private static final int SECONDS = 60;

    /** The number of entry VMs, unless an option changes it. */
    private static final int ENTRIES = 4;

    @Override
    public int run(String[] args) throws IOException {
        Arguments arguments =
                new CommandLineParser()
                        .required("shape")
                        .required("out")
                        .optional("seconds", "entries", "load", "seed")
                        .parse(args);
        Trace trace =
                new TraceGenerator(
                                TraceShape.of(arguments.text("shape").orElseThrow()),
                                arguments.integer("seconds", SECONDS),
                                arguments.integer("entries", ENTRIES),
                                arguments.decimal("load", 1),
                                arguments.integer("seed", 1))
                        .generate();
        Path file = Path.of(arguments.text("out").orElseThrow());
        trace.write(file);
        System.out.println(trace.requests().size() + " requests in " + file);
        return 0;
    }
}
