package org.magnoliaseam.caller;

import org.magnoliaseam.error.Refusal;
import org.magnoliaseam.error.Result;
import org.magnoliaseam.model.ClientAccountId;
import org.magnoliaseam.model.RequestClassId;

/** Issues tickets for requests that may not be repeated. */
public interface TicketIssuer {

    /**
     * Issues a ticket.
     *
     * @param account the client account that may use the ticket
     * @param requestClass the class of the request that it is for
     * @return the ticket text, or the refusal
     */
    Result<String, Refusal> issue(ClientAccountId account, RequestClassId requestClass);

    /**
     * Returns the lifetime of a ticket.
     *
     * @return the lifetime in seconds
     */
    long ttlSeconds();
}
