package org.magnoliaseam.ticket;

/** The result of decoding the text of a ticket. */
public sealed interface DecodedTicket {

    /**
     * States that an entry VM of this site issued the ticket.
     *
     * @param ticket the ticket
     */
    record Valid(Ticket ticket) implements DecodedTicket {}

    /** States that the MAC does not match the text. */
    record Forged() implements DecodedTicket {}

    /** States that the text does not have the format of a ticket. */
    record Malformed() implements DecodedTicket {}
}
