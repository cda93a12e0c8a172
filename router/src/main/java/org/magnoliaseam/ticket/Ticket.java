package org.magnoliaseam.ticket;

import org.magnoliaseam.model.ClientAccountId;
import org.magnoliaseam.model.Incarnation;
import org.magnoliaseam.model.RequestClassId;
import org.magnoliaseam.model.VmId;

/**
 * Permits a single execution of one request by the process that issued the ticket.
 *
 * @param home the entry VM that issued the ticket
 * @param incarnation the incarnation of that entry VM process
 * @param sequence the number of the ticket within that incarnation
 * @param issuedAtMillis the time of issue in milliseconds since the start of that incarnation
 * @param ttlMillis the time from issue until expiry, in milliseconds
 * @param account the client account that may use the ticket
 * @param requestClass the request class that the ticket is for
 */
public record Ticket(
        VmId home,
        Incarnation incarnation,
        long sequence,
        long issuedAtMillis,
        long ttlMillis,
        ClientAccountId account,
        RequestClassId requestClass) {

    /**
     * Returns the last time at which the ticket can be used, on the clock of the process that
     * issued it.
     *
     * @return the time in milliseconds since the start of that process
     */
    public long expiresAtMillis() {
        return issuedAtMillis + ttlMillis;
    }
}
