package org.magnoliaseam.placement;

/**
 * Limits the prompts that wait at a model engine. An engine admits prompts in order of arrival
 * while it has slots and memory, so that a burst of long prompts delays every request behind it,
 * urgent ones too. Beyond the limit requests wait at the entry VM instead, where the order can
 * still change and an expired request costs the engine nothing.
 */
public final class EngineBacklogLimit {

    /**
     * The longest wait behind other prompts at an engine, as a fraction of the target for the first
     * event; the rest is left for the request's own prompt.
     */
    private static final double TARGET_SHARE = 0.5;

    /** Prevents instances of this utility class. */
    private EngineBacklogLimit() {}

    /**
     * Returns the longest wait behind other prompts.
     *
     * @param targetMillis the target for the first event that has to be met, in milliseconds
     * @return the wait in milliseconds
     */
    public static double limitMillis(double targetMillis) {
        return TARGET_SHARE * targetMillis;
    }

    /**
     * Tells whether an engine may get a request now.
     *
     * @param waitMillis the predicted time until the engine has processed the prompts that it has,
     *     in milliseconds
     * @param targetMillis the target for the first event of the request, in milliseconds
     * @return true if the wait leaves time for the request itself
     */
    public static boolean admits(double waitMillis, double targetMillis) {
        return waitMillis <= limitMillis(targetMillis);
    }
}
