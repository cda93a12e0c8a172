package org.magnoliaseam.operator;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Supplier;
import org.magnoliaseam.burn.BurnCounts;
import org.magnoliaseam.burn.BurnCountsJson;
import org.magnoliaseam.burn.BurnHtml;
import org.magnoliaseam.burn.BurnJson;
import org.magnoliaseam.burn.BurnRecorder;
import org.magnoliaseam.burn.BurnReport;
import org.magnoliaseam.burn.BurnText;
import org.magnoliaseam.model.VmId;
import org.magnoliaseam.settings.Configuration;

/** Renders the report on service-level burn of all entry VMs. */
public final class BurnPage implements OperatorPage {

    /** The path of the counts at other entry VMs. */
    private static final String PATH = "/burn";

    /** Counts the requests of this entry VM. */
    private final BurnRecorder mRecorder;

    /** Reads from the other entry VMs. */
    private final PeerPages mPeers;

    /** Returns the configuration in force, or empty if there is none yet. */
    private final Supplier<Optional<Configuration>> mConfiguration;

    /**
     * Creates a page.
     *
     * @param recorder counts the requests of this entry VM
     * @param peers reads from the other entry VMs
     * @param configuration returns the configuration in force, or empty if there is none yet
     */
    public BurnPage(
            BurnRecorder recorder,
            PeerPages peers,
            Supplier<Optional<Configuration>> configuration) {
        mRecorder = recorder;
        mPeers = peers;
        mConfiguration = configuration;
    }

    @Override
    public PageContent render(String rest, String query) {
        Optional<PageFormat> format = PageFormat.of(query);
        Optional<Configuration> configuration = mConfiguration.get();
        if (format.isEmpty()) {
            return PageContent.badRequest("The format must be text, json or html.");
        }
        if (configuration.isEmpty()) {
            return PageContent.unavailable("No configuration is in force yet.");
        }
        BurnReport report = report(configuration.get());
        return switch (format.get()) {
            case TEXT -> PageContent.plain(BurnText.render(report));
            case JSON -> PageContent.json(BurnJson.render(report));
            case HTML -> PageContent.html(BurnHtml.render(report));
        };
    }

    /**
     * Collects the counts of all entry VMs.
     *
     * @param configuration the configuration in force
     * @return the report
     */
    private BurnReport report(Configuration configuration) {
        BurnCounts counts = mRecorder.read();
        List<VmId> unanswered = new ArrayList<>();
        for (Map.Entry<VmId, Optional<String>> answer : mPeers.ask(PATH).entrySet()) {
            Optional<BurnCounts> peer = answer.getValue().flatMap(BurnCountsJson::decode);
            if (peer.isPresent()) {
                counts = counts.plus(peer.get());
            } else {
                unanswered.add(answer.getKey());
            }
        }
        return BurnReport.of(counts, unanswered, configuration);
    }
}
