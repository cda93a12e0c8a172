package org.magnoliaseam.testbed.proxy;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonProperty;

/**
 * Holds the faults of both directions of a link.
 *
 * @param toTarget the fault of bytes to the target
 * @param toClient the fault of bytes to the client
 * @param delayMillis the delay of a delayed direction in milliseconds
 */
public record LinkFaults(Fault toTarget, Fault toClient, long delayMillis) {

    /** The link without faults. */
    public static final LinkFaults NONE = both(Fault.PASS);

    /**
     * Creates faults from JSON with defaults for absent fields.
     *
     * @param toTarget the fault of bytes to the target, or null for none
     * @param toClient the fault of bytes to the client, or null for none
     * @param delayMillis the delay of a delayed direction in milliseconds, or null for none
     * @return the faults
     */
    @JsonCreator
    public static LinkFaults of(
            @JsonProperty("toTarget") Fault toTarget,
            @JsonProperty("toClient") Fault toClient,
            @JsonProperty("delayMillis") Long delayMillis) {
        return new LinkFaults(
                toTarget == null ? Fault.PASS : toTarget,
                toClient == null ? Fault.PASS : toClient,
                delayMillis == null ? 0 : delayMillis);
    }

    /**
     * Returns the same fault for both directions.
     *
     * @param fault the fault
     * @return the faults
     */
    public static LinkFaults both(Fault fault) {
        return new LinkFaults(fault, fault, 0);
    }

    /**
     * Returns a delay of both directions.
     *
     * @param millis the delay of each direction in milliseconds
     * @return the faults
     */
    public static LinkFaults delay(long millis) {
        return new LinkFaults(Fault.DELAY, Fault.DELAY, millis);
    }

    /**
     * Tells whether a direction has a fault.
     *
     * @param fault the fault
     * @return whether at least one direction has it
     */
    public boolean has(Fault fault) {
        return toTarget == fault || toClient == fault;
    }
}
