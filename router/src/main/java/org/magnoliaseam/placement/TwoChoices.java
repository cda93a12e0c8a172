package org.magnoliaseam.placement;

import java.util.List;

/**
 * Chooses among servers whose loads are known only from old or few facts: draws two at random and
 * takes the one with the lower predicted time (power of two choices). Many entry VMs that know the
 * same then do not all choose the same server.
 */
public final class TwoChoices {

    /**
     * The difference of predicted times, as a fraction of the shorter one, below which they count
     * as equal. It is below that of one request at a server of six slots.
     */
    private static final double EQUAL_SHARE = 0.05;

    /**
     * Holds what is known of a server.
     *
     * @param weight the chance of being drawn relative to the others, such as its speed; above 0
     * @param millis the predicted time of the request there, in milliseconds
     * @param local whether it is in the failure domain of the caller of this rule
     */
    public record Option(double weight, double millis, boolean local) {}

    /** Prevents instances of this utility class. */
    private TwoChoices() {}

    /**
     * Chooses a server.
     *
     * @param options the servers, at least one
     * @param first a number from 0 to below 1 that draws the first server
     * @param second an independent number that draws the second one among the others
     * @return the index of the server with the lower predicted time of the two; among equals the
     *     local one, otherwise the first drawn
     */
    public static int choose(List<Option> options, double first, double second) {
        int a = draw(options, -1, first);
        if (options.size() == 1) {
            return a;
        }
        int b = draw(options, a, second);
        Option one = options.get(a);
        Option other = options.get(b);
        double equal = EQUAL_SHARE * Math.min(one.millis(), other.millis());
        if (Math.abs(one.millis() - other.millis()) <= equal) {
            return other.local() && !one.local() ? b : a;
        }
        return other.millis() < one.millis() ? b : a;
    }

    /**
     * Draws a server by weight.
     *
     * @param options the servers
     * @param excluded the index of a server that is left out; negative for none
     * @param draw a number from 0 to below 1
     * @return the index of the server
     */
    private static int draw(List<Option> options, int excluded, double draw) {
        double sum = 0;
        for (int i = 0; i < options.size(); i++) {
            sum += i == excluded ? 0 : options.get(i).weight();
        }
        double left = draw * sum;
        int last = -1;
        for (int i = 0; i < options.size(); i++) {
            if (i == excluded) {
                continue;
            }
            last = i;
            left -= options.get(i).weight();
            if (left < 0) {
                break;
            }
        }
        return last;
    }
}
