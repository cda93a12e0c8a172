package org.magnoliaseam.gateway;

import java.util.List;
import org.magnoliaseam.gossip.PartRead;
import org.magnoliaseam.model.BackendServerId;

/**
 * Collects the shared prompt parts that this entry VM sent to backend servers, for the digests to
 * other entry VMs. Not thread-safe.
 */
final class RecentPromptParts {

    /** The largest number of parts in a digest. */
    private static final int MAX_PARTS = 200;

    /** The parts to report. */
    private final RepeatedItems<PartRead> mParts = new RepeatedItems<>(MAX_PARTS);

    /**
     * Records that a prompt was sent.
     *
     * @param server the backend server
     * @param prompt the prompt
     */
    void sent(BackendServerId server, Prompt prompt) {
        for (PromptPart part : prompt.sharedParts()) {
            mParts.add(new PartRead(server, part.id(), part.tokens()));
        }
    }

    /**
     * Returns the parts for the next digest.
     *
     * @param digests the number of digests that include each part
     * @return the parts
     */
    List<PartRead> next(int digests) {
        return mParts.next(digests);
    }
}
