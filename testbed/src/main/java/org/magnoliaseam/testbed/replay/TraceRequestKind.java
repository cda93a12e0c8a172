package org.magnoliaseam.testbed.replay;

import com.fasterxml.jackson.annotation.JsonProperty;

/** Lists the kinds of requests in a trace. */
public enum TraceRequestKind {
    /** A streamed chat request. */
    @JsonProperty("chat")
    CHAT,
    /** A look-up in the ledger. */
    @JsonProperty("lookup")
    LOOKUP,
    /** An order to the ledger, with a ticket. */
    @JsonProperty("order")
    ORDER
}
