package org.magnoliaseam.burn;

import java.util.Collections;
import java.util.Comparator;
import java.util.List;
import org.magnoliaseam.model.VmId;
import org.magnoliaseam.settings.Configuration;
import org.magnoliaseam.settings.RequestClass;

/**
 * Holds the report on service-level burn. Immutable.
 *
 * @param sources the entry VMs whose counts are in the report
 * @param notAnswered the entry VMs that did not answer; the report lacks their requests
 * @param classes the classes, sorted by tier and name
 */
public record BurnReport(
        List<BurnSource> sources, List<VmId> notAnswered, List<ClassBurn> classes) {

    /** The maximum number of client accounts listed for a class. */
    static final int TOP_ACCOUNTS = 5;

    /**
     * Computes a report.
     *
     * @param counts the counts of all entry VMs that answered
     * @param notAnswered the entry VMs that did not answer
     * @param configuration the configuration in force
     * @return the report
     */
    public static BurnReport of(
            BurnCounts counts, List<VmId> notAnswered, Configuration configuration) {
        List<ClassBurn> classes =
                configuration.classes().values().stream()
                        .sorted(
                                Comparator.comparing(RequestClass::tier)
                                        .thenComparing(requestClass -> requestClass.id().value()))
                        .map(requestClass -> burn(counts, requestClass))
                        .toList();
        return new BurnReport(List.copyOf(counts.sources()), List.copyOf(notAnswered), classes);
    }

    /**
     * Computes the burn of a class.
     *
     * @param counts the counts
     * @param requestClass the class
     * @return the burn
     */
    private static ClassBurn burn(BurnCounts counts, RequestClass requestClass) {
        BurnKey key = new BurnKey(requestClass.id(), BurnDimension.CLASS, "");
        List<BurnCount> windows =
                counts.windows().getOrDefault(key, none(BurnWindow.values().length));
        List<Double> rates =
                windows.stream().map(count -> count.burnRate(requestClass.objective())).toList();
        List<BurnPart> accounts = parts(counts, requestClass, BurnDimension.ACCOUNT);
        return new ClassBurn(
                requestClass.id(),
                requestClass.tier(),
                requestClass.objective(),
                BurnState.of(rates),
                windows,
                rates,
                counts.timelines()
                        .getOrDefault(
                                requestClass.id(), none(BurnCounts.TIMELINE_WINDOW.buckets())),
                parts(counts, requestClass, BurnDimension.CAUSE),
                accounts.stream().limit(TOP_ACCOUNTS).toList(),
                parts(counts, requestClass, BurnDimension.FAILURE_DOMAIN));
    }

    /**
     * Collects the parts of a class, sorted by missed requests in the longest window, most first.
     *
     * @param counts the counts
     * @param requestClass the class
     * @param dimension the criterion by which the requests are grouped
     * @return the parts
     */
    private static List<BurnPart> parts(
            BurnCounts counts, RequestClass requestClass, BurnDimension dimension) {
        int longest = BurnWindow.THREE_DAYS.ordinal();
        return counts.windows().entrySet().stream()
                .filter(entry -> entry.getKey().requestClass().equals(requestClass.id()))
                .filter(entry -> entry.getKey().dimension() == dimension)
                .map(entry -> new BurnPart(entry.getKey().name(), entry.getValue()))
                .filter(part -> part.windows().get(longest).total() > 0)
                .sorted(
                        Comparator.comparingLong(
                                        (BurnPart part) -> -part.windows().get(longest).bad())
                                .thenComparing(BurnPart::name))
                .toList();
    }

    /**
     * Creates empty counts.
     *
     * @param length the number of counts
     * @return the counts
     */
    private static List<BurnCount> none(int length) {
        return Collections.nCopies(length, BurnCount.NONE);
    }
}
