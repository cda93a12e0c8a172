package org.magnoliaseam.burn;

import java.util.List;
import java.util.Locale;

/** Draws the plots of the report as inline SVG. */
final class BurnPlots {

    /** The width of a plot in pixels. */
    private static final int WIDTH = 420;

    /** The height of a plot in pixels. */
    private static final int HEIGHT = 150;

    /** The left edge of the drawing area in pixels. */
    private static final int LEFT = 46;

    /** The lower edge of the drawing area in pixels. */
    private static final int BOTTOM = 130;

    /** The upper edge of the drawing area in pixels. */
    private static final int TOP = 10;

    /** The right edge of the drawing area in pixels. */
    private static final int RIGHT = 380;

    /** The height of a bar and its gap in pixels. */
    private static final int BAR_STEP = 28;

    /** The height of a bar in pixels. */
    private static final int BAR_HEIGHT = 18;

    /** The burn rate at the right edge; bars of larger rates end there. */
    private static final double LARGEST_RATE = 20;

    /**
     * The height of an attainment plot in multiples of the error budget, unless an attainment is
     * lower.
     */
    private static final double AXIS_BUDGETS = 4;

    /** The colour of a burn rate at or below the thresholds. */
    private static final String OK = "#2e7d32";

    /** The colour of a slow burn. */
    private static final String SLOW = "#ef9a00";

    /** The colour of a fast burn. */
    private static final String FAST = "#c62828";

    /** Prevents instances of this utility class. */
    private BurnPlots() {}

    /**
     * Draws the burn rate of each window as a bar.
     *
     * @param burn the class
     * @return the SVG element
     */
    static String rates(ClassBurn burn) {
        StringBuilder svg = open("Burn rate of " + burn.id());
        line(svg, x(BurnState.SLOW_RATE), TOP, x(BurnState.SLOW_RATE), BOTTOM, SLOW);
        line(svg, x(BurnState.FAST_RATE), TOP, x(BurnState.FAST_RATE), BOTTOM, FAST);
        label(svg, x(BurnState.SLOW_RATE) - 4, HEIGHT - 4, "6");
        label(svg, x(BurnState.FAST_RATE) - 12, HEIGHT - 4, "14.4");
        for (BurnWindow window : BurnWindow.values()) {
            double rate = burn.rates().get(window.ordinal());
            int y = TOP + 4 + window.ordinal() * BAR_STEP;
            label(svg, LEFT - 26, y + 14, window.text());
            format(
                    svg,
                    "<rect x=\"%d\" y=\"%d\" width=\"%.1f\" height=\"%d\" fill=\"%s\"/>",
                    LEFT,
                    y,
                    Math.max(1, x(rate) - LEFT),
                    BAR_HEIGHT,
                    colour(rate));
            label(svg, x(rate) + 4, y + 14, BurnText.rate(rate));
        }
        return svg.append("</svg>").toString();
    }

    /**
     * Draws the attainment of each bucket of the timeline. Buckets without requests are left out.
     *
     * @param burn the class
     * @return the SVG element
     */
    static String attainment(ClassBurn burn) {
        StringBuilder svg = open("Attainment of " + burn.id());
        List<BurnCount> timeline = burn.timeline();
        double width = (double) (RIGHT - LEFT) / timeline.size();
        double floor = floor(burn);
        for (int i = 0; i < timeline.size(); i++) {
            BurnCount count = timeline.get(i);
            if (count.total() > 0) {
                double y = y(count.attainment(), floor);
                format(
                        svg,
                        "<rect x=\"%.1f\" y=\"%.1f\" width=\"%.1f\" height=\"%.1f\" fill=\"%s\"/>",
                        LEFT + i * width,
                        y,
                        width - 1,
                        Math.max(1, BOTTOM - y),
                        colour(count.burnRate(burn.objective())));
            }
        }
        line(svg, LEFT, BOTTOM, RIGHT, BOTTOM, "#999");
        double objective = y(burn.objective(), floor);
        format(
                svg,
                "<line x1=\"%d\" y1=\"%.1f\" x2=\"%d\" y2=\"%.1f\" stroke=\"#333\""
                        + " stroke-dasharray=\"4 3\"/>",
                LEFT,
                objective,
                RIGHT,
                objective);
        label(svg, 4, TOP + 8, "100%");
        label(svg, 0, BOTTOM, BurnText.perCent(floor));
        label(svg, LEFT, HEIGHT - 4, "1 h ago");
        label(svg, RIGHT - 24, HEIGHT - 4, "now");
        return svg.append("</svg>").toString();
    }

    /**
     * Starts an SVG element.
     *
     * @param title the description for screen readers
     * @return the text so far
     */
    private static StringBuilder open(String title) {
        StringBuilder svg = new StringBuilder();
        format(
                svg,
                "<svg width=\"%d\" height=\"%d\" role=\"img\" aria-label=\"%s\">",
                WIDTH,
                HEIGHT,
                BurnHtml.escape(title));
        return svg;
    }

    /**
     * Computes the coordinate of a burn rate.
     *
     * @param rate the burn rate
     * @return the horizontal coordinate, at most the right edge
     */
    private static double x(double rate) {
        return LEFT + (RIGHT - LEFT) * Math.min(1, rate / LARGEST_RATE);
    }

    /**
     * Chooses the attainment at the lower edge so that misses near the objective are visible.
     *
     * @param burn the class
     * @return the fraction, at most the objective and every drawn attainment
     */
    private static double floor(ClassBurn burn) {
        double lowest = 1 - AXIS_BUDGETS * (1 - burn.objective());
        for (BurnCount count : burn.timeline()) {
            lowest = Math.min(lowest, count.attainment());
        }
        return Math.max(0, lowest);
    }

    /**
     * Computes the coordinate of an attainment.
     *
     * @param attainment the fraction
     * @param floor the fraction at the lower edge
     * @return the vertical coordinate
     */
    private static double y(double attainment, double floor) {
        return BOTTOM - (BOTTOM - TOP) * (attainment - floor) / (1 - floor);
    }

    /**
     * Chooses the colour of a burn rate.
     *
     * @param rate the burn rate
     * @return the colour
     */
    private static String colour(double rate) {
        if (rate > BurnState.FAST_RATE) {
            return FAST;
        }
        return rate > BurnState.SLOW_RATE ? SLOW : OK;
    }

    /**
     * Draws a line.
     *
     * @param svg the drawing so far
     * @param x1 the first horizontal coordinate
     * @param y1 the first vertical coordinate
     * @param x2 the second horizontal coordinate
     * @param y2 the second vertical coordinate
     * @param colour the colour
     */
    private static void line(
            StringBuilder svg, double x1, double y1, double x2, double y2, String colour) {
        format(
                svg,
                "<line x1=\"%.1f\" y1=\"%.1f\" x2=\"%.1f\" y2=\"%.1f\" stroke=\"%s\"/>",
                x1,
                y1,
                x2,
                y2,
                colour);
    }

    /**
     * Draws a label.
     *
     * @param svg the drawing so far
     * @param x the horizontal coordinate
     * @param y the vertical coordinate
     * @param text the label
     */
    private static void label(StringBuilder svg, double x, double y, String text) {
        format(svg, "<text x=\"%.1f\" y=\"%.1f\">%s</text>", x, y, BurnHtml.escape(text));
    }

    /**
     * Adds formatted text.
     *
     * @param svg the drawing so far
     * @param pattern the format string
     * @param values the arguments of the format string
     */
    private static void format(StringBuilder svg, String pattern, Object... values) {
        svg.append(String.format(Locale.ROOT, pattern, values));
    }
}
