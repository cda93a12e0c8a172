package org.magnoliaseam.model;

/**
 * Holds the priority tier of a request class.
 *
 * @param rank the rank of the tier, from 1, the highest priority, to {@link #LOWEST_RANK}
 */
public record Tier(int rank) implements Comparable<Tier> {

    /** The rank of the lowest tier. */
    public static final int LOWEST_RANK = 3;

    /** The tier with the highest priority. */
    public static final Tier HIGHEST = new Tier(1);

    /** The tier with the lowest priority. */
    public static final Tier LOWEST = new Tier(LOWEST_RANK);

    /**
     * Validates the rank.
     *
     * @throws IllegalArgumentException if the rank is out of range
     */
    public Tier {
        if (rank < 1 || rank > LOWEST_RANK) {
            throw new IllegalArgumentException("tier must be 1 to " + LOWEST_RANK);
        }
    }

    /**
     * Returns whether this tier has a higher priority than another.
     *
     * @param other the tier to compare with
     * @return true if its priority is higher
     */
    public boolean outranks(Tier other) {
        return rank < other.rank;
    }

    @Override
    public int compareTo(Tier other) {
        return Integer.compare(rank, other.rank);
    }

    @Override
    public String toString() {
        return "tier " + rank;
    }
}
