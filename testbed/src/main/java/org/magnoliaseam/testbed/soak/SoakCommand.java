package org.magnoliaseam.testbed.soak;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;
import org.magnoliaseam.testbed.Arguments;
import org.magnoliaseam.testbed.CommandLineParser;
import org.magnoliaseam.testbed.Subcommand;

/** Runs soak tests for several seeds one after another and prints a line for each. */
public final class SoakCommand implements Subcommand {

    /** The default time in which faults are injected for a seed, in seconds. */
    private static final int DEFAULT_SECONDS = 15;

    @Override
    public int run(String[] args) throws Exception {
        Arguments arguments =
                new CommandLineParser()
                        .required("binary")
                        .required("folder")
                        .required("first")
                        .optional("count", "seconds")
                        .parse(args);
        long first = Long.parseLong(arguments.text("first").orElseThrow());
        long millis = TimeUnit.SECONDS.toMillis(arguments.integer("seconds", DEFAULT_SECONDS));
        int count = arguments.integer("count", 1);
        Path folder = Path.of(arguments.text("folder").orElseThrow());
        String binary = Path.of(arguments.text("binary").orElseThrow()).toAbsolutePath().toString();
        int failed = 0;
        for (long seed = first; seed < first + count; seed++) {
            Path own = Files.createDirectories(folder.resolve("seed-" + seed));
            SoakRun.Outcome outcome = new SoakRun(seed, millis).run(own, binary);
            System.out.printf(
                    "seed %d: calls %d, whole %d, faults %d, broken %d%n",
                    seed,
                    outcome.calls(),
                    outcome.whole(),
                    outcome.faults(),
                    outcome.violations().size());
            outcome.violations().forEach(line -> System.out.println("  " + line));
            failed += outcome.violations().isEmpty() ? 0 : 1;
        }
        System.out.printf("%d passed, %d failed%n", count - failed, failed);
        return failed == 0 ? 0 : 1;
    }
}
