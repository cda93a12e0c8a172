package org.magnoliaseam.burn;

import java.time.Duration;
import java.util.List;
import java.util.Locale;
import java.util.stream.Collectors;

/** Renders the report as plain text. */
public final class BurnText {

    /** The largest burn rate written as a number; a larger one is written as above this rate. */
    private static final double LARGEST_RATE = 9999;

    /** The factor that converts a fraction to a percentage. */
    private static final double PER_CENT = 100;

    /** Prevents instances of this utility class. */
    private BurnText() {}

    /**
     * Renders a report.
     *
     * @param report the report
     * @return the text
     */
    public static String render(BurnReport report) {
        StringBuilder text = new StringBuilder("Service-level burn\n");
        for (BurnSource source : report.sources()) {
            text.append("  counts of ").append(source(source)).append('\n');
        }
        text.append(missingVms(report)).append('\n');
        report.classes().forEach(burn -> add(text, burn));
        return text.toString();
    }

    /**
     * Describes a source.
     *
     * @param source the source
     * @return the name of the entry VM and the time that its counts cover
     */
    static String source(BurnSource source) {
        Duration covered = Duration.ofSeconds(source.coveredSeconds());
        return source.vm()
                + " over the last "
                + covered.toHours()
                + " h "
                + covered.toMinutesPart()
                + " min "
                + covered.toSecondsPart()
                + " s";
    }

    /**
     * States which entry VMs did not answer.
     *
     * @param report the report
     * @return one line with its line end
     */
    static String missingVms(BurnReport report) {
        if (report.notAnswered().isEmpty()) {
            return "  every known entry VM answered\n";
        }
        String names =
                report.notAnswered().stream()
                        .map(Object::toString)
                        .collect(Collectors.joining(", "));
        return "  NO ANSWER from " + names + ": their requests are missing here\n";
    }

    /**
     * Formats a burn rate.
     *
     * @param rate the burn rate
     * @return the rate with one decimal
     */
    static String rate(double rate) {
        return rate > LARGEST_RATE
                ? ">" + (int) LARGEST_RATE
                : String.format(Locale.ROOT, "%.1f", rate);
    }

    /**
     * Formats a fraction.
     *
     * @param fraction the fraction
     * @return the percentage with two decimals
     */
    static String perCent(double fraction) {
        return String.format(Locale.ROOT, "%.2f%%", fraction * PER_CENT);
    }

    /**
     * Adds a class.
     *
     * @param text the report so far
     * @param burn the class
     */
    private static void add(StringBuilder text, ClassBurn burn) {
        text.append(
                String.format(
                        Locale.ROOT,
                        "%s (%s, objective %s): %s%n",
                        burn.id(),
                        burn.tier(),
                        perCent(burn.objective()),
                        burn.state().text().toUpperCase(Locale.ROOT)));
        text.append(row("window", "requests", "missed", "attained", "burn rate"));
        for (BurnWindow window : BurnWindow.values()) {
            BurnCount count = burn.windows().get(window.ordinal());
            text.append(
                    row(
                            window.text(),
                            Long.toString(count.total()),
                            Long.toString(count.bad()),
                            count.total() == 0 ? "-" : perCent(count.attainment()),
                            rate(burn.rates().get(window.ordinal()))));
        }
        parts(text, "burned by (missed in 5m, 1h, 6h, 3d)", burn.causes());
        parts(text, "client accounts (missed of all in 5m, 1h, 6h, 3d)", burn.accounts());
        parts(text, "failure domains (missed of all in 5m, 1h, 6h, 3d)", burn.failureDomains());
        text.append('\n');
    }

    /**
     * Formats a row of the table.
     *
     * @param cells the cells
     * @return the line
     */
    private static String row(String... cells) {
        Object[] values = cells;
        return String.format(Locale.ROOT, "  %-8s%10s%10s%12s%12s%n", values);
    }

    /**
     * Adds the parts of a class, or nothing if there are none.
     *
     * @param text the report so far
     * @param title the heading of the parts
     * @param parts the parts
     */
    private static void parts(StringBuilder text, String title, List<BurnPart> parts) {
        if (parts.isEmpty()) {
            return;
        }
        text.append("  ").append(title).append('\n');
        for (BurnPart part : parts) {
            String counts =
                    part.windows().stream().map(BurnText::count).collect(Collectors.joining(" "));
            text.append(String.format(Locale.ROOT, "    %-32s %s%n", part.name(), counts));
        }
    }

    /**
     * Formats a count.
     *
     * @param count the count
     * @return the missed and all requests, separated by a slash
     */
    static String count(BurnCount count) {
        return String.format(Locale.ROOT, "%12s", count.bad() + "/" + count.total());
    }
}
