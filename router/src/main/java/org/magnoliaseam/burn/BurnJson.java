package org.magnoliaseam.burn;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;

/** Renders the report as JSON. */
public final class BurnJson {

    /** Writes JSON. */
    private static final ObjectMapper MAPPER = new ObjectMapper();

    /** Prevents instances of this utility class. */
    private BurnJson() {}

    /**
     * Renders a report.
     *
     * @param report the report
     * @return the JSON text
     */
    public static String render(BurnReport report) {
        ObjectNode root = MAPPER.createObjectNode();
        ArrayNode sources = root.putArray("entryVms");
        for (BurnSource source : report.sources()) {
            sources.addObject()
                    .put("vm", source.vm().value())
                    .put("coveredSeconds", source.coveredSeconds());
        }
        ArrayNode notAnswered = root.putArray("notAnswered");
        report.notAnswered().forEach(vm -> notAnswered.add(vm.value()));
        ArrayNode classes = root.putArray("classes");
        for (ClassBurn burn : report.classes()) {
            ObjectNode node = classes.addObject();
            node.put("class", burn.id().value());
            node.put("tier", burn.tier().rank());
            node.put("objective", burn.objective());
            node.put("state", burn.state().text());
            windows(node.putArray("windows"), burn);
            parts(node.putArray("causes"), burn.causes());
            parts(node.putArray("accounts"), burn.accounts());
            parts(node.putArray("failureDomains"), burn.failureDomains());
        }
        return root.toPrettyString() + "\n";
    }

    /**
     * Adds the windows of a class.
     *
     * @param array the array that the windows are added to
     * @param burn the class
     */
    private static void windows(ArrayNode array, ClassBurn burn) {
        for (BurnWindow window : BurnWindow.values()) {
            BurnCount count = burn.windows().get(window.ordinal());
            array.addObject()
                    .put("window", window.text())
                    .put("requests", count.total())
                    .put("missed", count.bad())
                    .put("attainment", count.attainment())
                    .put("burnRate", burn.rates().get(window.ordinal()));
        }
    }

    /**
     * Adds the parts of a class.
     *
     * @param array the array that the parts are added to
     * @param parts the parts
     */
    private static void parts(ArrayNode array, List<BurnPart> parts) {
        for (BurnPart part : parts) {
            ObjectNode node = array.addObject();
            node.put("name", part.name());
            for (BurnWindow window : BurnWindow.values()) {
                BurnCount count = part.windows().get(window.ordinal());
                node.putObject(window.text())
                        .put("requests", count.total())
                        .put("missed", count.bad());
            }
        }
    }
}
