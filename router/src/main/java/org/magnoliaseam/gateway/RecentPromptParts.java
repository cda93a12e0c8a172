package org.magnoliaseam.gateway;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.magnoliaseam.gossip.PartRead;
import org.magnoliaseam.model.BackendServerId;

/**
 * Collects the shared prompt parts that this entry VM sent to backend servers, for the digests to
 * other entry VMs. Not thread-safe.
 */
final class RecentPromptParts {

    /** The largest number of parts in a digest. */
    private static final int MAX_PARTS = 200;

    /** The number of digests that have included each part. */
    private final Map<PartRead, Integer> mIncluded = new LinkedHashMap<>();

    /**
     * Records that a prompt was sent.
     *
     * @param server the backend server
     * @param prompt the prompt
     */
    void sent(BackendServerId server, Prompt prompt) {
        for (PromptPart part : prompt.sharedParts()) {
            mIncluded.put(new PartRead(server, part.id(), part.tokens()), 0);
        }
    }

    /**
     * Returns the parts for the next digest.
     *
     * @param digests the number of digests that include each part
     * @return the parts
     */
    List<PartRead> next(int digests) {
        mIncluded.values().removeIf(included -> included >= digests);
        List<PartRead> parts = new ArrayList<>();
        for (PartRead part : mIncluded.keySet()) {
            if (parts.size() < MAX_PARTS) {
                parts.add(part);
            }
        }
        parts.forEach(part -> mIncluded.merge(part, 1, Integer::sum));
        return parts;
    }
}
