package org.magnoliaseam.burn;

import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.stream.Collectors;

/** Renders the report as one HTML page that loads no external resources. */
public final class BurnHtml {

    /** The start of the page up to the title. */
    private static final String HEAD =
            """
            <!DOCTYPE html>
            <html lang="en"><head><meta charset="utf-8"><title>Service-level burn</title>
            <style>
            body { font: 15px/1.4 system-ui, sans-serif; margin: 2em auto; max-width: 64em;
                padding: 0 1em; color: #1c1c1c; background: #fafafa; }
            h1 { font-size: 1.5em; } h2 { font-size: 1.15em; margin: 0 0 .4em; }
            section { background: #fff; border: 1px solid #ddd; border-left: 8px solid;
                border-radius: 4px; padding: 1em; margin: 1em 0; }
            .ok { border-left-color: #2e7d32; } .slow { border-left-color: #ef9a00; }
            .fast { border-left-color: #c62828; }
            .state { font-weight: bold; text-transform: uppercase; }
            .plots { display: flex; flex-wrap: wrap; gap: 2em; }
            figure { margin: 0; } figcaption { color: #555; font-size: .9em; }
            table { border-collapse: collapse; margin-top: .8em; font-size: .9em; }
            th, td { padding: .15em .8em; text-align: right; border-bottom: 1px solid #eee; }
            th:first-child, td:first-child { text-align: left; }
            p.state { text-transform: none; }
            svg text { font: 12px system-ui, sans-serif; fill: #333; }
            .missing { color: #c62828; font-weight: bold; }
            </style></head><body><h1>Service-level burn</h1>
            """;

    /** Prevents instances of this utility class. */
    private BurnHtml() {}

    /**
     * Renders a report.
     *
     * @param report the report
     * @return the page
     */
    public static String render(BurnReport report) {
        StringBuilder page = new StringBuilder(HEAD);
        String sources =
                report.sources().stream().map(BurnText::source).collect(Collectors.joining("; "));
        page.append("<p>Counts of ").append(escape(sources)).append(".</p>\n");
        String style = report.notAnswered().isEmpty() ? "" : " class=\"missing\"";
        page.append("<p").append(style).append('>');
        page.append(escape(BurnText.missingVms(report).strip())).append(".</p>\n");
        page.append("<p class=\"state\">").append(escape(summary(report))).append("</p>\n");
        report.classes().forEach(burn -> add(page, burn));
        return page.append("</body></html>\n").toString();
    }

    /**
     * Escapes the characters that have a special meaning in HTML.
     *
     * @param text the text
     * @return the escaped text
     */
    static String escape(String text) {
        return text.replace("&", "&amp;")
                .replace("<", "&lt;")
                .replace(">", "&gt;")
                .replace("\"", "&quot;");
    }

    /**
     * Lists the classes that burn their error budget too fast, most urgent first.
     *
     * @param report the report
     * @return one line
     */
    private static String summary(BurnReport report) {
        String burning =
                report.classes().stream()
                        .filter(burn -> burn.state() != BurnState.OK)
                        .sorted(Comparator.comparing(ClassBurn::state).reversed())
                        .map(burn -> burn.id() + ": " + burn.state().text())
                        .collect(Collectors.joining("; "));
        return burning.isEmpty() ? "No class burns its budget too fast" : burning;
    }

    /**
     * Adds a class.
     *
     * @param page the page so far
     * @param burn the class
     */
    private static void add(StringBuilder page, ClassBurn burn) {
        String state = burn.state().text();
        page.append("<section class=\"").append(state.split(" ")[0]).append("\"><h2>");
        page.append(escape(burn.id().value())).append(": <span class=\"state\">");
        page.append(state).append("</span></h2><p>");
        page.append(burn.tier()).append(", objective ");
        page.append(BurnText.perCent(burn.objective())).append("</p><div class=\"plots\">");
        page.append("<figure>").append(BurnPlots.rates(burn));
        page.append("<figcaption>Burn rate by window; lines at the thresholds of slow and fast")
                .append(" burn</figcaption></figure><figure>");
        page.append(BurnPlots.attainment(burn));
        page.append("<figcaption>Attainment by minute over the last hour; dashed line at the")
                .append(" objective</figcaption></figure></div>\n");
        parts(page, "Burned by (missed)", burn.causes());
        parts(page, "Client account (missed/all)", burn.accounts());
        parts(page, "Failure domain (missed/all)", burn.failureDomains());
        page.append("</section>\n");
    }

    /**
     * Adds a table of the parts of a class, or nothing if there are none.
     *
     * @param page the page so far
     * @param title the title of the first column
     * @param parts the parts
     */
    private static void parts(StringBuilder page, String title, List<BurnPart> parts) {
        if (parts.isEmpty()) {
            return;
        }
        page.append("<table><tr><th>").append(title).append("</th>");
        for (BurnWindow window : BurnWindow.values()) {
            page.append("<th>").append(window.text()).append("</th>");
        }
        page.append("</tr>\n");
        for (BurnPart part : parts) {
            page.append("<tr><td>").append(escape(part.name())).append("</td>");
            for (BurnCount count : part.windows()) {
                page.append(
                        String.format(Locale.ROOT, "<td>%d/%d</td>", count.bad(), count.total()));
            }
            page.append("</tr>\n");
        }
        page.append("</table>\n");
    }
}
