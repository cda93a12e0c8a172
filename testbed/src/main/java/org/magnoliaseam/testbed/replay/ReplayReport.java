package org.magnoliaseam.testbed.replay;

import java.util.List;

/**
 * Counts the outcomes of a replay.
 *
 * @param classes the outcomes by class
 */
public record ReplayReport(List<ClassReport> classes) {

    /** The heading of the text. */
    private static final String HEADING =
            "%-14s %5s %6s %7s %7s %8s %7s %7s %9s %9s %9s %9s%n"
                    .formatted(
                            "class",
                            "sent",
                            "whole",
                            "onTime",
                            "onTime%",
                            "refused",
                            "gaveUp",
                            "failed",
                            "first p50",
                            "first p95",
                            "end p95",
                            "goodput");

    /**
     * Returns the number of tokens of all whole answers.
     *
     * @return the number
     */
    public long wholeTokens() {
        return classes.stream().mapToLong(ClassReport::wholeTokens).sum();
    }

    /**
     * Returns the number of tokens of all answers on time.
     *
     * @return the number
     */
    public long goodputTokens() {
        return classes.stream().mapToLong(ClassReport::goodputTokens).sum();
    }

    /**
     * Returns the number of whole answers that differ from the expected ones.
     *
     * @return the number
     */
    public int mismatched() {
        return classes.stream().mapToInt(ClassReport::mismatched).sum();
    }

    /**
     * Formats the report.
     *
     * @return the lines
     */
    public String text() {
        StringBuilder text = new StringBuilder(HEADING);
        for (ClassReport report : classes) {
            text.append(line(report));
        }
        for (ClassReport report : classes) {
            if (!report.refused().isEmpty() || report.mismatched() > 0) {
                text.append(
                        "%s: refused %s, mismatched %d%n"
                                .formatted(report.name(), report.refused(), report.mismatched()));
            }
        }
        return text.toString();
    }

    /**
     * Formats the line of a class.
     *
     * @param report the class
     * @return the line
     */
    private static String line(ClassReport report) {
        return "%-14s %5d %6d %7d %7.1f %8d %7d %7d %9d %9d %9d %9d%n"
                .formatted(
                        report.name(),
                        report.sent(),
                        report.whole(),
                        report.onTime(),
                        100 * report.onTimeFraction(),
                        report.refused().values().stream().mapToInt(Integer::intValue).sum(),
                        report.gaveUp(),
                        report.failed(),
                        report.firstTokenP50Millis(),
                        report.firstTokenP95Millis(),
                        report.endP95Millis(),
                        report.goodputTokens());
    }
}
