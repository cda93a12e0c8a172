package org.magnoliaseam.testbed.replay;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Predicate;
import org.HdrHistogram.Histogram;

/** Builds the report of a replay. */
public final class ReportBuilder {

    /** The number of significant digits of recorded times. */
    private static final int SIGNIFICANT_DIGITS = 3;

    /** The targets by class. */
    private final OutcomeTargets mTargets;

    /** The length of an interval in milliseconds. */
    private final long mIntervalMillis;

    /**
     * Creates a builder.
     *
     * @param targets the targets
     * @param intervalMillis the length of an interval in milliseconds
     */
    public ReportBuilder(OutcomeTargets targets, long intervalMillis) {
        mTargets = targets;
        mIntervalMillis = intervalMillis;
    }

    /**
     * Builds the report.
     *
     * @param outcomes the outcomes
     * @return the report
     */
    public ReplayReport build(List<RequestOutcome> outcomes) {
        return new ReplayReport(
                mTargets.classes().stream()
                        .map(
                                targets ->
                                        build(
                                                targets,
                                                outcomes.stream().filter(isOf(targets)).toList()))
                        .toList());
    }

    /**
     * Selects the outcomes of a class.
     *
     * @param targets the class
     * @return the condition
     */
    private static Predicate<RequestOutcome> isOf(OutcomeTargets.ClassTargets targets) {
        return outcome -> outcome.request().requestClass().equals(targets.name());
    }

    /**
     * Builds the report of a class.
     *
     * @param targets the targets of the class
     * @param outcomes the outcomes of the class
     * @return the report
     */
    private ClassReport build(OutcomeTargets.ClassTargets targets, List<RequestOutcome> outcomes) {
        Map<String, Integer> refused = new TreeMap<>();
        Histogram firstTokens = new Histogram(SIGNIFICANT_DIGITS);
        Histogram ends = new Histogram(SIGNIFICANT_DIGITS);
        for (RequestOutcome outcome : outcomes) {
            if (outcome.refused()) {
                refused.merge(outcome.answer().errorKind(), 1, Integer::sum);
            }
            outcome.answer().timings().firstTokenMillis().ifPresent(firstTokens::recordValue);
            if (outcome.whole()) {
                ends.recordValue(outcome.answer().timings().endMillis());
            }
        }
        int whole = count(outcomes, RequestOutcome::whole);
        int gaveUp = count(outcomes, RequestOutcome::gaveUp);
        int refusals = refused.values().stream().mapToInt(Integer::intValue).sum();
        return new ClassReport(
                targets.name(),
                outcomes.size(),
                whole,
                count(outcomes, outcome -> outcome.onTime(targets)),
                count(outcomes, RequestOutcome::mismatched),
                refused,
                gaveUp,
                outcomes.size() - whole - gaveUp - refusals,
                tokens(outcomes, RequestOutcome::whole),
                tokens(outcomes, outcome -> outcome.onTime(targets)),
                firstTokens.getValueAtPercentile(50),
                firstTokens.getValueAtPercentile(95),
                ends.getValueAtPercentile(95),
                intervals(targets, outcomes));
    }

    /**
     * Counts the outcomes by interval of the due time.
     *
     * @param targets the targets of the class
     * @param outcomes the outcomes of the class
     * @return the counts in order
     */
    private List<ClassReport.IntervalCounts> intervals(
            OutcomeTargets.ClassTargets targets, List<RequestOutcome> outcomes) {
        Map<Long, List<RequestOutcome>> byStart = new TreeMap<>();
        for (RequestOutcome outcome : outcomes) {
            long start = outcome.request().atMillis() / mIntervalMillis * mIntervalMillis;
            byStart.computeIfAbsent(start, unused -> new ArrayList<>()).add(outcome);
        }
        List<ClassReport.IntervalCounts> intervals = new ArrayList<>();
        byStart.forEach(
                (start, inside) ->
                        intervals.add(
                                new ClassReport.IntervalCounts(
                                        start,
                                        inside.size(),
                                        count(inside, RequestOutcome::whole),
                                        count(inside, outcome -> outcome.onTime(targets)))));
        return intervals;
    }

    /**
     * Counts outcomes.
     *
     * @param outcomes the outcomes
     * @param condition the condition
     * @return the number
     */
    private static int count(List<RequestOutcome> outcomes, Predicate<RequestOutcome> condition) {
        return (int) outcomes.stream().filter(condition).count();
    }

    /**
     * Adds up the tokens of outcomes.
     *
     * @param outcomes the outcomes
     * @param condition the condition
     * @return the number
     */
    private static long tokens(List<RequestOutcome> outcomes, Predicate<RequestOutcome> condition) {
        return outcomes.stream().filter(condition).mapToLong(RequestOutcome::tokens).sum();
    }
}
