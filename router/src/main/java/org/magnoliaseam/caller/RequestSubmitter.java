package org.magnoliaseam.caller;

import org.eclipse.jetty.server.Request;
import org.magnoliaseam.error.ErrorKind;
import org.magnoliaseam.error.Refusal;
import org.magnoliaseam.exchange.AuthenticatedRequest;
import org.magnoliaseam.exchange.Cancellation;
import org.magnoliaseam.exchange.RequestService;

/** Submits a request and cancels it if the connection to its caller fails. */
final class RequestSubmitter {

    /** Prevents instances of this utility class. */
    private RequestSubmitter() {}

    /**
     * Submits a request.
     *
     * @param service runs requests
     * @param http the HTTP request
     * @param incoming the request
     * @param sink receives the response
     * @param tickets issues a ticket if the request needs one and carries none
     */
    static void submit(
            RequestService service,
            Request http,
            AuthenticatedRequest incoming,
            CallerSink sink,
            TicketIssuer tickets) {
        boolean needsTicket = !incoming.requestClass().idempotent();
        if (needsTicket && incoming.ticket().isEmpty()) {
            refuseWithTicket(incoming, sink, tickets);
            return;
        }
        Cancellation cancellation = service.submit(incoming, sink);
        http.addFailureListener(failure -> cancellation.cancel());
    }

    /**
     * Refuses a request that lacks a required ticket, and sends a new ticket with the refusal.
     *
     * @param incoming the request
     * @param sink receives the response
     * @param tickets issues the ticket
     */
    private static void refuseWithTicket(
            AuthenticatedRequest incoming, CallerSink sink, TicketIssuer tickets) {
        tickets.issue(incoming.account(), incoming.requestClass().id())
                .fold(
                        ticket -> {
                            sink.refuse(Refusal.of(ErrorKind.TICKET_REQUIRED), ticket);
                            return null;
                        },
                        refusal -> {
                            sink.refuse(refusal);
                            return null;
                        });
    }
}
