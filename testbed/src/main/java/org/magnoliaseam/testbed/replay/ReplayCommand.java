package org.magnoliaseam.testbed.replay;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.magnoliaseam.testbed.Arguments;
import org.magnoliaseam.testbed.CommandLineParser;
import org.magnoliaseam.testbed.Subcommand;
import org.magnoliaseam.testbed.engine.EngineAnswers;
import org.magnoliaseam.testbed.harness.CallerClient;
import org.magnoliaseam.testbed.http.Json;
import org.magnoliaseam.testbed.http.ListenAddress;

/** Replays a trace against running entry VMs and reports the outcomes. */
public final class ReplayCommand implements Subcommand {

    /** The length of an interval in seconds, unless an option changes it. */
    private static final int INTERVAL_SECONDS = 60;

    @Override
    public int run(String[] args) throws IOException {
        Arguments arguments =
                new CommandLineParser()
                        .required("trace")
                        .required("entries")
                        .optional("wanted", "json", "interval-seconds", "mean-tokens")
                        .parse(args);
        Path trace = Path.of(arguments.text("trace").orElseThrow());
        OutcomeTargets targets =
                OutcomeTargets.read(
                        arguments
                                .text("wanted")
                                .map(Path::of)
                                .orElse(OutcomeTargets.beside(trace)));
        EngineAnswers answers =
                new EngineAnswers(
                        arguments.decimal("mean-tokens", EngineAnswers.DEFAULT_MEAN_TOKENS));
        List<ListenAddress> entries =
                Arrays.stream(arguments.text("entries").orElseThrow().split(","))
                        .map(ListenAddress::parse)
                        .toList();
        int seconds = arguments.integer("interval-seconds", INTERVAL_SECONDS);
        try (CallerClient client = new CallerClient()) {
            List<RequestOutcome> outcomes =
                    new Replayer(client, entries, targets, answers).replay(Trace.read(trace));
            ReplayReport report =
                    new ReportBuilder(targets, TimeUnit.SECONDS.toMillis(seconds)).build(outcomes);
            System.out.print(report.text());
            if (arguments.has("json")) {
                Files.writeString(
                        Path.of(arguments.text("json").orElseThrow()), Json.write(report));
            }
        }
        return 0;
    }
}
