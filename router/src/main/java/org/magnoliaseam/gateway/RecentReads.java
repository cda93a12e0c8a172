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

    /** The digests that name each part, since some digests get lost. */
    private static final int REPEATS = 3;

    /** The most parts in a digest. */
    private static final int MAX_PARTS = 200;

    /** The digests that are still to name each part. */
    private final Map<PartRead, Integer> mLeft = new LinkedHashMap<>();

    /**
     * Notes that a prompt was sent.
     *
     * @param server the backend server
     * @param prompt the prompt
     */
    void sent(BackendServerId server, Prompt prompt) {
        for (PromptPart part : prompt.sharedParts()) {
            mLeft.put(new PartRead(server, part.id(), part.tokens()), REPEATS);
        }
    }

    /**
     * Returns the parts for the next digest.
     *
     * @return the parts
     */
    List<PartRead> next() {
        List<PartRead> parts = new ArrayList<>();
        for (PartRead part : mLeft.keySet()) {
            if (parts.size() < MAX_PARTS) {
                parts.add(part);
            }
        }
        parts.forEach(part -> mLeft.computeIfPresent(part, RecentReads::named));
        return parts;
    }

    /**
     * Counts that a part was named.
     *
     * @param part the part
     * @param left the digests that were still to name it
     * @return the digests that are left; null if there are none
     */
    private static Integer named(PartRead part, int left) {
        return left > 1 ? left - 1 : null;
    }
}
