package org.magnoliaseam.permit;

import java.util.HashMap;
import java.util.Map;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/** Applies {@link SlotRule} and logs when its result changes. Not thread-safe. */
final class SlotCounting {

    /** Logs changes of what is assumed about engines. */
    private static final Logger LOG = LogManager.getLogger("board");

    /** The last result by the number of slots. */
    private final Map<Integer, Boolean> mCounted = new HashMap<>();

    /**
     * Tells whether the home of an engine counts its slots.
     *
     * @param vms the number of entry VMs
     * @param slots the published slots of the engine
     * @return true if it does
     */
    boolean isCounted(int vms, int slots) {
        boolean counted = SlotRule.isScarce(vms, slots);
        Boolean before = mCounted.put(slots, counted);
        if (counted != (before != null && before)) {
            LOG.info(
                    "board: slots of engines counted by their homes, slots={} vms={} counted={}",
                    slots,
                    vms,
                    counted);
        }
        return counted;
    }
}
