package org.magnoliaseam.settings.check;

import java.util.function.Consumer;
import org.magnoliaseam.settings.Fault;
import org.magnoliaseam.settings.RequestClass;
import org.magnoliaseam.settings.schema.ClassKeys;

/** Checks that the guaranteed shares leave enough capacity for scheduling by strict priority. */
public final class GuaranteedShareCheck implements ConfigurationCheck {

    /** The largest accepted sum of all guaranteed shares. */
    public static final double MAX_SUM = 0.5;

    /** The reason for shares whose sum is too large. */
    public static final String SUM_TOO_LARGE =
            "the guaranteed shares of all classes add up to %s; the limit is %s";

    /** The tolerated rounding error of the sum. */
    private static final double TOLERANCE = 1e-9;

    @Override
    public void check(ConfigurationDraft draft, Consumer<Fault> faults) {
        double sum = 0;
        for (Located<RequestClass> located : draft.classes().values()) {
            boolean withinLimit = sum <= MAX_SUM + TOLERANCE;
            sum += located.value().guaranteedShare();
            if (withinLimit && sum > MAX_SUM + TOLERANCE) {
                String reason = SUM_TOO_LARGE.formatted(rounded(total(draft)), MAX_SUM);
                faults.accept(located.fault(ClassKeys.GUARANTEED_SHARE, reason));
            }
        }
    }

    /**
     * Adds up all guaranteed shares.
     *
     * @param draft the merged configuration
     * @return the sum
     */
    private static double total(ConfigurationDraft draft) {
        return draft.classes().values().stream()
                .mapToDouble(located -> located.value().guaranteedShare())
                .sum();
    }

    /**
     * Rounds a sum for a message.
     *
     * @param sum the sum
     * @return the sum with at most four decimal places
     */
    private static double rounded(double sum) {
        return Math.round(sum * 10_000) / 10_000.0;
    }
}
