package org.magnoliaseam.testbed.soak;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;

/** Draws the faults of a soak test from a seed: single, in series, and overlapping. */
final class SoakPlan {

    /** The shortest and the longest time between two draws in milliseconds. */
    private static final int[] GAP_MILLIS = {150, 1400};

    /** The shortest and the longest time between the faults of a series in milliseconds. */
    private static final int[] SERIES_GAP_MILLIS = {200, 1200};

    /** The share of draws that become a series over all targets in turn. */
    private static final double SERIES_SHARE = 0.15;

    /** Prevents instances of this utility class. */
    private SoakPlan() {}

    /**
     * Draws the faults of a soak test.
     *
     * @param seed the seed
     * @param millis the length of the soak test in milliseconds
     * @param targets the number of entry VMs, and of backend servers
     * @return the faults, ordered by start time within each draw
     */
    static List<SoakStep> draw(long seed, long millis, int targets) {
        Random random = new Random(seed);
        List<SoakStep> steps = new ArrayList<>();
        long at = between(random, GAP_MILLIS);
        while (at < millis) {
            SoakFault fault = SoakFault.values()[random.nextInt(SoakFault.values().length)];
            int first = random.nextInt(targets);
            int count = random.nextDouble() < SERIES_SHARE ? targets : 1;
            long begin = at;
            for (int i = 0; i < count && begin < millis; i++) {
                long length = between(random, fault.millis());
                steps.add(new SoakStep(begin, fault, (first + i) % targets, length));
                begin += between(random, SERIES_GAP_MILLIS);
            }
            at += between(random, GAP_MILLIS);
        }
        return steps;
    }

    /**
     * Draws a number.
     *
     * @param random the source
     * @param range the smallest and the largest number
     * @return a number of the range
     */
    private static long between(Random random, int[] range) {
        return range[0] + random.nextInt(range[1] - range[0] + 1);
    }
}
