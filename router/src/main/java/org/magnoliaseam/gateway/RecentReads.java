package org.magnoliaseam.gateway;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.magnoliaseam.gossip.PartRead;
import org.magnoliaseam.model.BackendServerId;

/**
 * Collects the shared prompt parts that this entry VM sent to backend servers, to tell the others.
 * Not thread-safe.
 */
final class RecentReads {

    /** The most parts in a digest. */
    private static final int MAX_PARTS = 200;

    /** The digests that have named each part. */
    private final Map<PartRead, Integer> mNamed = new LinkedHashMap<>();

    /**
     * Notes that a prompt was sent.
     *
     * @param server the backend server
     * @param prompt the prompt
     */
    void sent(BackendServerId server, Prompt prompt) {
        for (PromptPart part : prompt.sharedParts()) {
            mNamed.put(new PartRead(server, part.id(), part.tokens()), 0);
        }
    }

    /**
     * Returns the parts for the next digest.
     *
     * @param digests the digests in which each part is to be named
     * @return the parts
     */
    List<PartRead> next(int digests) {
        mNamed.values().removeIf(named -> named >= digests);
        List<PartRead> parts = new ArrayList<>();
        for (PartRead part : mNamed.keySet()) {
            if (parts.size() < MAX_PARTS) {
                parts.add(part);
            }
        }
        parts.forEach(part -> mNamed.merge(part, 1, Integer::sum));
        return parts;
    }
}
