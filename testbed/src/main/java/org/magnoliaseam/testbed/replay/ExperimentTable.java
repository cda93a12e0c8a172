package org.magnoliaseam.testbed.replay;

import java.util.List;
import java.util.function.Function;

/** Formats the results of an experiment side by side. */
final class ExperimentTable {

    /** The results. */
    private final List<PolicyResult> mResults;

    /** The targets. */
    private final OutcomeTargets mTargets;

    /**
     * Creates a table.
     *
     * @param results the results
     * @param targets the targets
     */
    ExperimentTable(List<PolicyResult> results, OutcomeTargets targets) {
        mResults = results;
        mTargets = targets;
    }

    /**
     * Formats the table and the missed targets.
     *
     * @return the lines
     */
    String text() {
        StringBuilder text = new StringBuilder("== side by side\n");
        text.append(row("", PolicyResult::policy));
        for (int i = 0; i < mTargets.classes().size(); i++) {
            int index = i;
            text.append(
                    row(
                            "on time % " + mTargets.classes().get(i).name(),
                            result -> percent(classOf(result, index).onTimeFraction())));
        }
        text.append(row("goodput tokens", result -> "" + result.report().goodputTokens()));
        text.append(row("wasted % of tokens", result -> percent(result.wastedFraction())));
        text.append(row("cold engines fell over", result -> "" + result.coldFalls()));
        text.append(row("repeated orders", result -> "" + result.repeatedOrders()));
        text.append(row("mismatched answers", result -> "" + result.report().mismatched()));
        for (PolicyResult result : mResults) {
            List<String> missed = result.missed(mTargets);
            text.append(result.policy()).append(": ");
            text.append(missed.isEmpty() ? "all wanted outcomes met" : "missed " + missed);
            text.append('\n');
        }
        return text.toString();
    }

    /**
     * Returns the report of a class.
     *
     * @param result the result
     * @param index the index of the class
     * @return the report
     */
    private static ClassReport classOf(PolicyResult result, int index) {
        return result.report().classes().get(index);
    }

    /**
     * Formats a fraction.
     *
     * @param fraction the fraction
     * @return the text in percent
     */
    private static String percent(double fraction) {
        return "%.1f".formatted(100 * fraction);
    }

    /**
     * Formats a row.
     *
     * @param name the name of the row
     * @param cell gives the cell of a result
     * @return the line
     */
    private String row(String name, Function<PolicyResult, String> cell) {
        StringBuilder row = new StringBuilder("%-26s".formatted(name));
        mResults.forEach(result -> row.append("%26s".formatted(cell.apply(result))));
        return row.append('\n').toString();
    }
}
