package org.magnoliaseam.failure;

import java.util.Locale;

/** Lists the steps of the router that may fail unexpectedly. */
public enum FailedStep {
    /** A decision on a request, under its lock. */
    DECISION,
    /** An action that follows a decision, such as the start of an attempt. */
    ACTION,
    /** The start of requests that wait. */
    DRAIN,
    /** The periodic check of a request or of permits, or the end of a request with the process. */
    TICK,
    /** A message about permits, or what follows from its absence. */
    PERMIT,
    /** A datagram of another entry VM, or a digest for the others. */
    GOSSIP;

    /**
     * Returns the spelling in logs and metrics.
     *
     * @return the name in lower case
     */
    public String text() {
        return name().toLowerCase(Locale.ROOT);
    }
}
