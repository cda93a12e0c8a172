package org.magnoliaseam.testbed.proxy;

import com.fasterxml.jackson.annotation.JsonCreator;
import java.util.Locale;

/** Lists the faults of one direction of a link. */
public enum Fault {
    /** No fault: bytes are forwarded. */
    PASS,
    /** Bytes are forwarded after a delay. */
    DELAY,
    /** Bytes are dropped; connections stay open. */
    BLACKHOLE,
    /** Connections are closed. */
    CUT,
    /** Connections are reset. */
    RESET;

    /**
     * Parses a name.
     *
     * @param name the name in lower case
     * @return the fault
     * @throws IllegalArgumentException if the name is unknown
     */
    @JsonCreator
    public static Fault of(String name) {
        return valueOf(name.toUpperCase(Locale.ROOT));
    }
}
