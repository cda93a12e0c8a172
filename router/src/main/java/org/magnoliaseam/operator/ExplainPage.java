package org.magnoliaseam.operator;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Collectors;
import org.magnoliaseam.explain.DecisionRecord;
import org.magnoliaseam.explain.DecisionText;
import org.magnoliaseam.explain.RecordJson;
import org.magnoliaseam.explain.RecordReader;
import org.magnoliaseam.explain.RecordStore;
import org.magnoliaseam.model.Identifiers;
import org.magnoliaseam.model.RequestId;
import org.magnoliaseam.model.VmId;

/** Renders the explanation of one request from the records of all entry VMs that handled it. */
public final class ExplainPage implements OperatorPage {

    /** The start of the path of the records at other entry VMs. */
    private static final String PATH = "/explain/";

    /** The decision records. */
    private final RecordStore mRecords;

    /** Reads from the other entry VMs. */
    private final PeerPages mPeers;

    /**
     * Creates a page.
     *
     * @param records the decision records
     * @param peers reads from the other entry VMs
     */
    public ExplainPage(RecordStore records, PeerPages peers) {
        mRecords = records;
        mPeers = peers;
    }

    @Override
    public PageContent render(String rest, String query) {
        if (!Identifiers.isValid(rest)) {
            return PageContent.notFound("The path contains no valid request identifier.");
        }
        Optional<PageFormat> format = PageFormat.of(query);
        if (format.isEmpty() || format.get() == PageFormat.HTML) {
            return PageContent.badRequest("The format must be text or json.");
        }
        List<DecisionRecord> records = new ArrayList<>(mRecords.find(new RequestId(rest)));
        List<VmId> unanswered = new ArrayList<>();
        for (Map.Entry<VmId, Optional<String>> answer : mPeers.ask(PATH + rest).entrySet()) {
            Optional<List<DecisionRecord>> peer = answer.getValue().flatMap(RecordReader::array);
            peer.ifPresentOrElse(records::addAll, () -> unanswered.add(answer.getKey()));
        }
        if (records.isEmpty()) {
            return PageContent.notFound(
                    "No entry VM that answered keeps a record of this request."
                            + missing(unanswered));
        }
        List<DecisionRecord> ordered = DecisionText.inOrder(records);
        return format.get() == PageFormat.JSON
                ? PageContent.json(RecordJson.array(ordered).toPrettyString() + "\n")
                : PageContent.plain(DecisionText.render(ordered) + missing(unanswered) + "\n");
    }

    /**
     * Formats a note on the entry VMs that did not answer.
     *
     * @param unanswered the entry VMs that did not answer
     * @return a sentence, or an empty text if all answered
     */
    private static String missing(List<VmId> unanswered) {
        if (unanswered.isEmpty()) {
            return "";
        }
        String names = unanswered.stream().map(VmId::value).collect(Collectors.joining(", "));
        return "\nNo answer came from " + names + "; their records are missing here.";
    }
}
