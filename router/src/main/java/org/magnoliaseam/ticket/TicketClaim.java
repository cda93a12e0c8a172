package org.magnoliaseam.ticket;

import org.magnoliaseam.error.Refusal;
import org.magnoliaseam.model.Incarnation;
import org.magnoliaseam.model.VmId;

/** The result of using a ticket. */
public sealed interface TicketClaim {

    /** States that the caller must run the request now; returned at most once for each ticket. */
    record Run() implements TicketClaim {}

    /**
     * States that the request has run and its answer has been kept.
     *
     * @param answer the answer
     */
    record Replay(StoredAnswer answer) implements TicketClaim {}

    /**
     * States that the request has ended with a refusal, or without an answer that could be kept.
     *
     * @param refusal the refusal to send
     */
    record Refused(Refusal refusal) implements TicketClaim {}

    /** States that a request with the ticket is still running. */
    record InProgress() implements TicketClaim {}

    /**
     * States that the ticket was issued for another account or class, or used with another request.
     */
    record Mismatch() implements TicketClaim {}

    /** States that the ticket expired before its first use and can no longer be used. */
    record ExpiredUnused() implements TicketClaim {}

    /** States that the ticket has expired and whether it was used is no longer known. */
    record Expired() implements TicketClaim {}

    /**
     * States that another process issued the ticket.
     *
     * @param home the entry VM that issued it
     * @param incarnation the incarnation of that entry VM process
     */
    record NotHome(VmId home, Incarnation incarnation) implements TicketClaim {}
}
