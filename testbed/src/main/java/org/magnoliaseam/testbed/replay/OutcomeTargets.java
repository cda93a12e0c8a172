package org.magnoliaseam.testbed.replay;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.magnoliaseam.testbed.http.Json;

/**
 * Holds the targets for the outcomes of a trace.
 *
 * @param classes the targets by class
 * @param maxWastedFraction the largest accepted fraction of generated tokens that reach no caller
 *     as part of a whole answer
 */
public record OutcomeTargets(List<ClassTargets> classes, double maxWastedFraction) {

    /**
     * Reads the targets.
     *
     * @param file the JSON file
     * @return the targets
     * @throws IOException if the file cannot be read
     */
    public static OutcomeTargets read(Path file) throws IOException {
        return Json.read(Files.readString(file), OutcomeTargets.class);
    }

    /**
     * Returns the default file of the targets, in the folder of the trace.
     *
     * @param trace the file of the trace
     * @return the file
     */
    public static Path beside(Path trace) {
        return trace.resolveSibling(
                trace.getFileName().toString().replaceFirst("\\.jsonl$", "") + ".wanted.json");
    }

    /**
     * Returns the targets of a class.
     *
     * @param name the class
     * @return the targets
     * @throws IllegalArgumentException if there is none
     */
    public ClassTargets of(String name) {
        return classes.stream()
                .filter(targets -> targets.name().equals(name))
                .findFirst()
                .orElseThrow(() -> new IllegalArgumentException("No targets for class " + name));
    }

    /**
     * Holds the targets of one class.
     *
     * @param name the class
     * @param firstTokenMillis the longest accepted time to the first token; 0 for plain services
     * @param betweenTokensMillis the longest accepted time between tokens; 0 for plain services
     * @param wholeAnswerMillis the longest accepted time to the end of the answer
     * @param patienceMillis the time after which a caller times out
     * @param minOnTime the smallest accepted fraction of requests on time
     */
    public record ClassTargets(
            String name,
            long firstTokenMillis,
            long betweenTokensMillis,
            long wholeAnswerMillis,
            long patienceMillis,
            double minOnTime) {}
}
