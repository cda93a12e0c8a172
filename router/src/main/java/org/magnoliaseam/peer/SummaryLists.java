package org.magnoliaseam.peer;

import java.util.List;
import org.magnoliaseam.fleet.PeerSummary;
import org.magnoliaseam.fleet.SuspectNotice;
import org.magnoliaseam.fleet.WarmServer;

/**
 * Removes the lists of warm servers and suspects from a summary and restores them. They are most of
 * its bytes and rarely change, so a peer that already has them gets a summary without them.
 */
final class SummaryLists {

    /** Prevents instances of this utility class. */
    private SummaryLists() {}

    /**
     * Returns whether two summaries have equal lists, apart from the ages of suspects.
     *
     * @param first a summary
     * @param second another summary
     * @return true if the lists are equal
     */
    static boolean same(PeerSummary first, PeerSummary second) {
        return first.warmServers().equals(second.warmServers())
                && aged(first.suspects(), 0).equals(aged(second.suspects(), 0));
    }

    /**
     * Removes the lists.
     *
     * @param summary the summary
     * @return the summary with empty lists
     */
    static PeerSummary strip(PeerSummary summary) {
        return with(summary, List.of(), List.of());
    }

    /**
     * Restores the lists.
     *
     * @param stripped a summary with empty lists
     * @param full an earlier summary of the same sender with the same lists
     * @param elapsedMillis the time between the two in milliseconds
     * @return the summary with the lists
     */
    static PeerSummary restore(PeerSummary stripped, PeerSummary full, long elapsedMillis) {
        List<SuspectNotice> suspects =
                full.suspects().stream()
                        .map(suspect -> aged(suspect, suspect.ageMillis() + elapsedMillis))
                        .toList();
        return with(stripped, full.warmServers(), suspects);
    }

    /**
     * Gives all suspects the same age.
     *
     * @param suspects the suspects
     * @param ageMillis the age in milliseconds
     * @return the new list
     */
    private static List<SuspectNotice> aged(List<SuspectNotice> suspects, long ageMillis) {
        return suspects.stream().map(suspect -> aged(suspect, ageMillis)).toList();
    }

    /**
     * Changes the age of a suspect.
     *
     * @param suspect the suspect
     * @param ageMillis the age in milliseconds
     * @return the new suspect
     */
    private static SuspectNotice aged(SuspectNotice suspect, long ageMillis) {
        return new SuspectNotice(suspect.fingerprint(), suspect.crashes(), ageMillis);
    }

    /**
     * Replaces the lists.
     *
     * @param summary the summary
     * @param servers the warm servers
     * @param suspects the suspects
     * @return the new summary
     */
    private static PeerSummary with(
            PeerSummary summary, List<WarmServer> servers, List<SuspectNotice> suspects) {
        return new PeerSummary(
                summary.vm(),
                summary.incarnation(),
                summary.sequence(),
                summary.configurationVersion(),
                summary.memberListVersion(),
                summary.ready(),
                summary.leaving(),
                summary.pressure(),
                summary.room(),
                servers,
                suspects,
                summary.firstTries(),
                summary.retries());
    }
}
