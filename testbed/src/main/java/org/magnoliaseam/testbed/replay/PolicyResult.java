package org.magnoliaseam.testbed.replay;

import java.util.ArrayList;
import java.util.List;

/**
 * Holds the result of one trace under one dispatch policy.
 *
 * @param policy the policy
 * @param report the outcomes seen by the callers
 * @param generatedTokens the number of tokens that the engines generated
 * @param coldFalls the number of times that a cold engine failed because it exceeded its limit
 * @param repeatedOrders the number of orders that ran more than once
 */
public record PolicyResult(
        String policy,
        ReplayReport report,
        long generatedTokens,
        long coldFalls,
        long repeatedOrders) {

    /**
     * Returns the fraction of generated tokens that reached no caller as part of a whole answer.
     *
     * @return the fraction, 0 to 1
     */
    public double wastedFraction() {
        return generatedTokens == 0 ? 0 : 1 - (double) report.wholeTokens() / generatedTokens;
    }

    /**
     * Compares the result with the targets.
     *
     * @param targets the targets
     * @return one line for each target that was missed
     */
    public List<String> missed(OutcomeTargets targets) {
        List<String> missed = new ArrayList<>();
        for (ClassReport report : report.classes()) {
            double minimum = targets.of(report.name()).minOnTime();
            if (report.onTimeFraction() < minimum) {
                missed.add(
                        "%s on time %.3f, wanted %.3f"
                                .formatted(report.name(), report.onTimeFraction(), minimum));
            }
        }
        if (wastedFraction() > targets.maxWastedFraction()) {
            missed.add(
                    "wasted %.3f, wanted at most %.3f"
                            .formatted(wastedFraction(), targets.maxWastedFraction()));
        }
        if (report.mismatched() > 0) {
            missed.add(report.mismatched() + " mismatched answers, wanted 0");
        }
        if (repeatedOrders > 0) {
            missed.add(repeatedOrders + " orders ran more than once, wanted 0");
        }
        return missed;
    }
}
