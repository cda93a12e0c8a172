package org.magnoliaseam.testbed.soak;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;

/** Draws the faults of a soak test from a seed: single, in series, and overlapping. */
final class SoakPlan {

    /** The first seed that draws silences of sound servers and planned changes alone. */
    static final long FIRST_SILENCE_SEED = 10_000;

    /** The first seed that draws restores of the store among the changes that they may lose. */
    static final long FIRST_RESTORE_SEED = 20_000;

    /** The shortest and the longest time between two draws in milliseconds. */
    private static final int[] GAP_MILLIS = {150, 1400};

    /** The shortest and the longest time between two draws of notices in milliseconds. */
    private static final int[] NOTICE_GAP_MILLIS = {500, 3500};

    /** Tells the draw of notices from that of the other faults of a seed. */
    private static final long NOTICE_SEED = 0x5eedL << 32;

    /** The shortest and the longest time between two draws of silences in milliseconds. */
    private static final int[] SILENCE_GAP_MILLIS = {500, 3500};

    /** Tells the draw of silences from that of the other faults of a seed. */
    private static final long SILENCE_SEED = 0x511eL << 32;

    /** The shortest and the longest time between two draws of restores in milliseconds. */
    private static final int[] RESTORE_GAP_MILLIS = {3000, 9000};

    /** Tells the draw of restores from that of the other faults of a seed. */
    private static final long RESTORE_SEED = 0x4e57L << 32;

    /** What is drawn among restores by the seeds for them. */
    private static final List<SoakFault> AMONG_RESTORES =
            List.of(
                    SoakFault.CONFIGURE,
                    SoakFault.EVACUATE,
                    SoakFault.SERVER_DRAIN,
                    SoakFault.SERVER_CRASH,
                    SoakFault.KILL,
                    SoakFault.RELOAD,
                    SoakFault.STORE_ONE_WAY);

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
        List<SoakFault> all = List.of(SoakFault.values());
        List<SoakFault> first = all.subList(0, SoakFault.FIRST_NOTICE);
        List<SoakFault> notices = all.subList(SoakFault.FIRST_NOTICE, SoakFault.FIRST_SILENCE);
        List<SoakFault> silences = all.subList(SoakFault.FIRST_SILENCE, SoakFault.FIRST_RESTORE);
        List<SoakFault> restores = all.subList(SoakFault.FIRST_RESTORE, all.size());
        if (seed >= FIRST_RESTORE_SEED) {
            List<SoakFault> mixed = new ArrayList<>(restores);
            mixed.addAll(AMONG_RESTORES);
            return draw(new Random(seed), mixed, GAP_MILLIS, millis, targets);
        }
        if (seed >= FIRST_SILENCE_SEED) {
            List<SoakFault> alone = new ArrayList<>(silences);
            alone.addAll(List.of(SoakFault.CONFIGURE, SoakFault.RELOAD));
            return draw(new Random(seed), alone, GAP_MILLIS, millis, targets);
        }
        List<SoakStep> steps = draw(new Random(seed), first, GAP_MILLIS, millis, targets);
        // Draws of their own, so that the seeds of earlier failures draw what they drew then.
        Random random = new Random(seed ^ NOTICE_SEED);
        steps.addAll(draw(random, notices, NOTICE_GAP_MILLIS, millis, targets));
        random = new Random(seed ^ SILENCE_SEED);
        steps.addAll(draw(random, silences, SILENCE_GAP_MILLIS, millis, targets));
        random = new Random(seed ^ RESTORE_SEED);
        steps.addAll(draw(random, restores, RESTORE_GAP_MILLIS, millis, targets));
        return steps;
    }

    /**
     * Draws faults of some kinds.
     *
     * @param random the source of random numbers
     * @param faults the kinds
     * @param gapMillis the shortest and the longest time between two draws in milliseconds
     * @param millis the length of the soak test in milliseconds
     * @param targets the number of entry VMs, and of backend servers
     * @return the faults, ordered by start time within each draw
     */
    private static List<SoakStep> draw(
            Random random, List<SoakFault> faults, int[] gapMillis, long millis, int targets) {
        List<SoakStep> steps = new ArrayList<>();
        long at = between(random, gapMillis);
        while (at < millis) {
            SoakFault fault = faults.get(random.nextInt(faults.size()));
            int first = random.nextInt(targets);
            int count = random.nextDouble() < SERIES_SHARE ? targets : 1;
            long begin = at;
            for (int i = 0; i < count && begin < millis; i++) {
                long length = between(random, fault.millis());
                steps.add(new SoakStep(begin, fault, (first + i) % targets, length));
                begin += between(random, SERIES_GAP_MILLIS);
            }
            at += between(random, gapMillis);
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
