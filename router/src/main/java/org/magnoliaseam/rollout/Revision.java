package org.magnoliaseam.rollout;

import java.util.Comparator;

/**
 * Identifies a state of the publisher. Numbers rise with each change. When the publisher comes back
 * from an older copy, they are given out again from that of the copy on, and the era rises.
 *
 * @param era the number of times that the publisher came back from a copy, as it states it; 0 if it
 *     states none
 * @param number the number of the last change
 */
public record Revision(long era, long number) implements Comparable<Revision> {

    /** Precedes every state of the publisher. */
    public static final Revision NONE = new Revision(-1, -1);

    /** Compares the era before the number. */
    private static final Comparator<Revision> ORDER =
            Comparator.comparingLong(Revision::era).thenComparingLong(Revision::number);

    @Override
    public int compareTo(Revision other) {
        return ORDER.compare(this, other);
    }

    /**
     * Tells whether this state came after another one.
     *
     * @param other the other state
     * @return true if it is later
     */
    public boolean isLaterThan(Revision other) {
        return compareTo(other) > 0;
    }

    /**
     * Tells whether the publisher came back from a copy between a known state and this one.
     *
     * @param known the known state
     * @return true if this state is of a later era; false if no state is known
     */
    public boolean isRestoredSince(Revision known) {
        return !known.equals(NONE) && era > known.era;
    }

    /**
     * Returns the later of two states.
     *
     * @param a a state
     * @param b another state
     * @return the later one
     */
    public static Revision latest(Revision a, Revision b) {
        return a.isLaterThan(b) ? a : b;
    }

    /**
     * Returns the text for logs.
     *
     * @return the era and the number, separated by a colon
     */
    @Override
    public String toString() {
        return era + ":" + number;
    }
}
