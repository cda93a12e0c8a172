package org.magnoliaseam.testbed.harness;

import java.util.List;

/**
 * Describes a request class of a test site.
 *
 * @param name the name
 * @param tier the tier; 1 is the highest
 * @param firstTokenMillis the longest accepted time to the first token; 0 for plain services
 * @param betweenTokensMillis the longest accepted time between tokens; 0 for plain services
 * @param wholeAnswerMillis the longest accepted time to the end of the answer
 * @param objective the fraction of requests that must meet the targets
 * @param guaranteedShare the fraction of started requests that the class gets even under overload
 * @param maxQueueWaitMillis the longest accepted time in the queue
 * @param methods the methods of the plain service; empty for chat classes
 */
public record ClassSpec(
        String name,
        int tier,
        int firstTokenMillis,
        int betweenTokensMillis,
        int wholeAnswerMillis,
        double objective,
        double guaranteedShare,
        int maxQueueWaitMillis,
        List<String> methods) {

    /** A short question whose caller waits for the answer. */
    public static final ClassSpec QUESTION =
            new ClassSpec("question", 1, 660, 43, 20_000, 0.99, 0.05, 2_000, List.of());

    /** A question that tolerates a short delay. */
    public static final ClassSpec TOOL_QUESTION =
            new ClassSpec("tool-question", 2, 1_500, 60, 30_000, 0.98, 0.04, 5_000, List.of());

    /** A long text whose caller does not wait for it interactively. */
    public static final ClassSpec REVIEW =
            new ClassSpec("review", 3, 10_000, 120, 180_000, 0.95, 0.05, 60_000, List.of());

    /** A look-up in the ledger. */
    public static final ClassSpec LOOKUP =
            new ClassSpec("lookup", 1, 0, 0, 800, 0.99, 0.05, 1_000, List.of("GET"));

    /** An order to the ledger that runs at most once. */
    public static final ClassSpec RELEASE =
            new ClassSpec("release", 1, 0, 0, 3_000, 0.995, 0.05, 2_000, List.of("POST"));

    /** The default request classes of a site. */
    public static final List<ClassSpec> DEFAULTS =
            List.of(QUESTION, TOOL_QUESTION, REVIEW, LOOKUP, RELEASE);

    /** The idempotent method. */
    private static final String GET = "GET";

    /**
     * Tells whether the class is for chat requests.
     *
     * @return whether the list of methods is empty
     */
    public boolean chat() {
        return methods.isEmpty();
    }

    /**
     * Tells whether a request of the class may be run again.
     *
     * @return whether the class is for chat requests or look-ups
     */
    public boolean idempotent() {
        return chat() || methods.contains(GET);
    }
}
