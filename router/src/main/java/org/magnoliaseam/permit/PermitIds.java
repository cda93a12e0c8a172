package org.magnoliaseam.permit;

import java.util.concurrent.atomic.AtomicLong;
import java.util.random.RandomGenerator;

/**
 * Numbers the permits of one start of an entry VM. Homes know a permit by its entry VM and its
 * number, so the numbers begin at random: those of an earlier start may still count. Thread-safe.
 */
public final class PermitIds {

    /** The next number. */
    private final AtomicLong mNext;

    /**
     * Draws the first number.
     *
     * @param random the source of random numbers
     */
    public PermitIds(RandomGenerator random) {
        mNext = new AtomicLong(random.nextInt(Integer.MAX_VALUE));
    }

    /**
     * Returns the number of a new permit.
     *
     * @return the number
     */
    long next() {
        return mNext.getAndIncrement();
    }
}
