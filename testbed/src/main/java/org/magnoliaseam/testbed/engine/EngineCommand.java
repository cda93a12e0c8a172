package org.magnoliaseam.testbed.engine;

import org.magnoliaseam.testbed.Arguments;
import org.magnoliaseam.testbed.CommandLineParser;
import org.magnoliaseam.testbed.Subcommand;
import org.magnoliaseam.testbed.http.ListenAddress;

/** Runs the stand-in for a model engine. */
public final class EngineCommand implements Subcommand {

    /** The number of requests that run at once, unless an option changes it. */
    private static final int SLOTS = 8;

    /** The number of requests that wait for each slot, unless an option changes it. */
    private static final int QUEUE_PER_SLOT = 4;

    /** The number of requests that a cold engine runs at once, unless an option changes it. */
    private static final int COLD_LIMIT = 2;

    /** The number of completed requests that warm an engine, unless an option changes it. */
    private static final int WARM_AFTER = 5;

    /** The factor on the first-token time of a cold engine, unless an option changes it. */
    private static final double COLD_FACTOR = 2;

    /** The milliseconds to the first token, unless an option changes it. */
    private static final double FIRST_TOKEN_MILLIS = 100;

    /** The milliseconds between tokens, unless an option changes it. */
    private static final double TOKEN_MILLIS = 10;

    /** The relative growth of times on a full engine, unless an option changes it. */
    private static final double LOAD_FACTOR = 1;

    /** The milliseconds off the network after a crash, unless an option changes it. */
    private static final int RESTART_MILLIS = 1000;

    /** The number of prompt prefixes in the cache, unless an option changes it. */
    private static final int PREFIX_CACHE_SIZE = 32;

    @Override
    public int run(String[] args) throws Exception {
        Arguments arguments =
                new CommandLineParser()
                        .required("listen")
                        .required("model")
                        .optional("slots", "queue-limit", "cold-limit", "warm-after")
                        .optional("cold-factor", "first-token-millis", "token-millis")
                        .optional("load-factor", "restart-millis", "prefix-cache", "mean-tokens")
                        .optional("report-lag-millis", "seed")
                        .flag("crash-exits")
                        .parse(args);
        EngineAnswers answers =
                new EngineAnswers(
                        arguments.decimal("mean-tokens", EngineAnswers.DEFAULT_MEAN_TOKENS));
        new EngineStandIn(
                        ListenAddress.parse(arguments.text("listen").orElseThrow()),
                        settings(arguments),
                        answers,
                        arguments.integer("seed", 1),
                        arguments.integer("report-lag-millis", 0))
                .server()
                .startAndReport();
        return -1;
    }

    /**
     * Reads the fixed properties.
     *
     * @param arguments the arguments
     * @return the properties
     */
    private static EngineSettings settings(Arguments arguments) {
        int slots = arguments.integer("slots", SLOTS);
        return new EngineSettings(
                arguments.text("model").orElseThrow(),
                slots,
                arguments.integer("queue-limit", slots * QUEUE_PER_SLOT),
                arguments.integer("cold-limit", COLD_LIMIT),
                arguments.integer("warm-after", WARM_AFTER),
                arguments.decimal("cold-factor", COLD_FACTOR),
                arguments.decimal("first-token-millis", FIRST_TOKEN_MILLIS),
                arguments.decimal("token-millis", TOKEN_MILLIS),
                arguments.decimal("load-factor", LOAD_FACTOR),
                arguments.integer("restart-millis", RESTART_MILLIS),
                arguments.has("crash-exits"),
                arguments.integer("prefix-cache", PREFIX_CACHE_SIZE));
    }
}
