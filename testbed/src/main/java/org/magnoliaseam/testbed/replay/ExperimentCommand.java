package org.magnoliaseam.testbed.replay;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.magnoliaseam.testbed.Arguments;
import org.magnoliaseam.testbed.CommandLineParser;
import org.magnoliaseam.testbed.Subcommand;
import org.magnoliaseam.testbed.http.Json;

/** Runs one trace under each dispatch policy and prints the results side by side. */
public final class ExperimentCommand implements Subcommand {

    /** The policy whose result decides the exit code: 0 if it meets all targets. */
    private static final String OWN_POLICY = "tiered";

    /** The policies, unless an option names others. */
    private static final String POLICIES =
            OWN_POLICY + ",round-robin-fifo,least-reported-load-fifo";

    @Override
    public int run(String[] args) throws IOException {
        Arguments arguments =
                new CommandLineParser()
                        .required("trace")
                        .optional("wanted", "policies", "json")
                        .parse(args);
        Path trace = Path.of(arguments.text("trace").orElseThrow());
        Path targetsFile =
                arguments.text("wanted").map(Path::of).orElse(OutcomeTargets.beside(trace));
        OutcomeTargets targets = OutcomeTargets.read(targetsFile);
        Experiment experiment = new Experiment(Trace.read(trace), targets);
        List<PolicyResult> results = new ArrayList<>();
        for (String policy : arguments.text("policies", POLICIES).split(",")) {
            PolicyResult result = experiment.run(policy);
            results.add(result);
            System.out.println("== " + policy);
            System.out.print(result.report().text());
        }
        System.out.print(new ExperimentTable(results, targets).text());
        if (arguments.has("json")) {
            Files.writeString(Path.of(arguments.text("json").orElseThrow()), Json.write(results));
        }
        boolean met =
                results.stream()
                        .filter(result -> result.policy().equals(OWN_POLICY))
                        .allMatch(result -> result.missed(targets).isEmpty());
        return met ? 0 : 1;
    }
}
