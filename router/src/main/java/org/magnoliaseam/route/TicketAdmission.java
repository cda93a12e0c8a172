package org.magnoliaseam.route;

import java.nio.ByteBuffer;
import java.util.function.BiFunction;
import org.magnoliaseam.error.ErrorKind;
import org.magnoliaseam.error.Refusal;
import org.magnoliaseam.error.Result;
import org.magnoliaseam.exchange.AnswerSink;
import org.magnoliaseam.exchange.Cancellation;
import org.magnoliaseam.exchange.ForwardedRequest;
import org.magnoliaseam.explain.RecordEventKind;
import org.magnoliaseam.ticket.StoredAnswer;
import org.magnoliaseam.ticket.Ticket;
import org.magnoliaseam.ticket.TicketClaim;

/**
 * Admits non-idempotent requests by their tickets: runs a request, forwards it to the entry VM that
 * issued the ticket, replays a stored answer, or refuses the request.
 */
final class TicketAdmission {

    /** The dependencies that all requests share. */
    private final RequestParts mParts;

    /** Issues and validates tickets. */
    private final TicketService mTickets;

    /** Puts a request into the queue. */
    private final BiFunction<Admission, Runnable, Cancellation> mEnqueue;

    /**
     * Creates an admission check.
     *
     * @param parts the dependencies that all requests share
     * @param tickets issues and validates tickets
     * @param enqueue puts a request into the queue
     */
    TicketAdmission(
            RequestParts parts,
            TicketService tickets,
            BiFunction<Admission, Runnable, Cancellation> enqueue) {
        mParts = parts;
        mTickets = tickets;
        mEnqueue = enqueue;
    }

    /**
     * Checks the ticket of a request and runs, forwards, answers or refuses the request.
     *
     * @param admission the request
     * @param onEnd runs when the request has ended
     * @return cancels the request
     */
    Cancellation admit(Admission admission, Runnable onEnd) {
        Result<Ticket, Refusal> read = mTickets.decode(admission.request().ticket());
        if (read instanceof Result.Ok<Ticket, Refusal> ok) {
            return applyClaim(admission, ok.value(), onEnd);
        }
        return refuse(admission, ErrorKind.TICKET_FORGED, onEnd);
    }

    /**
     * Claims a verified ticket and acts on the result.
     *
     * @param admission the request
     * @param ticket the ticket
     * @param onEnd runs when the request has ended
     * @return cancels the request
     */
    private Cancellation applyClaim(Admission admission, Ticket ticket, Runnable onEnd) {
        TicketClaim claim = mTickets.claim(ticket, admission.request());
        recordClaim(admission, ticket, claim);
        if (claim instanceof TicketClaim.Run) {
            mParts.guard().recordFirstAttempt();
            AnswerSink sink = new TicketAnswerSink(admission.sink(), mTickets, ticket);
            return mEnqueue.apply(admission.withSink(sink), onEnd);
        } else if (claim instanceof TicketClaim.NotHome) {
            return forward(admission, ticket, onEnd);
        } else if (claim instanceof TicketClaim.Replay replay) {
            return replay(admission, replay.answer(), onEnd);
        } else if (claim instanceof TicketClaim.Refused refused) {
            return refuse(admission, refused.refusal().kind(), onEnd);
        } else if (claim instanceof TicketClaim.InProgress) {
            return refuse(admission, ErrorKind.TICKET_IN_PROGRESS, onEnd);
        } else if (claim instanceof TicketClaim.Mismatch) {
            return refuse(admission, ErrorKind.TICKET_MISMATCH, onEnd);
        } else if (claim instanceof TicketClaim.ExpiredUnused) {
            return refuse(admission, ErrorKind.TICKET_EXPIRED_UNUSED, onEnd);
        }
        return refuse(admission, ErrorKind.TICKET_EXPIRED, onEnd);
    }

    /**
     * Forwards a request to the entry VM that issued its ticket.
     *
     * @param admission the request
     * @param ticket the ticket
     * @param onEnd runs when the request has ended
     * @return a cancellation without effect, because the ticket reports the outcome
     */
    private Cancellation forward(Admission admission, Ticket ticket, Runnable onEnd) {
        boolean forwardedBefore = admission.request().forwarded().isPresent();
        boolean sameVm = ticket.home().equals(mParts.vm());
        if (forwardedBefore || sameVm) {
            return refuse(admission, ErrorKind.OUTCOME_UNKNOWN, onEnd);
        }
        mParts.peers()
                .reach(ticket.home(), ticket.incarnation())
                .thenAccept(
                        reached -> {
                            if (reached) {
                                sendToIssuer(admission, ticket, onEnd);
                            } else {
                                refuse(admission, ErrorKind.OUTCOME_UNKNOWN, onEnd);
                            }
                        });
        return () -> {};
    }

    /**
     * Sends a request to the entry VM that issued its ticket, over an established connection.
     *
     * @param admission the request
     * @param ticket the ticket
     * @param onEnd runs when the request has ended
     */
    private void sendToIssuer(Admission admission, Ticket ticket, Runnable onEnd) {
        admission
                .record()
                .add(
                        RecordEventKind.FORWARDED_HOME,
                        ticket.home().value(),
                        "It issued the ticket.");
        ForwardedRequest forwarded =
                Forwarding.toTicketIssuer(admission.request(), mParts.vm(), mParts.clock().nanos());
        AnswerSink answer =
                new IssuerAnswerSink(admission.sink(), admission.record(), mParts.records(), onEnd);
        mParts.peers().forward(ticket.home(), forwarded, answer);
    }

    /**
     * Answers with the stored answer to the first use of the ticket.
     *
     * @param admission the request
     * @param answer the stored answer
     * @param onEnd runs when the request has ended
     * @return a cancellation without effect
     */
    private Cancellation replay(Admission admission, StoredAnswer answer, Runnable onEnd) {
        AnswerSink sink = admission.sink();
        sink.head(answer.head());
        sink.write(ByteBuffer.wrap(answer.body())).whenComplete((done, failure) -> sink.end());
        admission.record().add(RecordEventKind.COMPLETED, "", "The kept answer was sent again.");
        mParts.records().accept(admission.record().build("completed", "yes", true));
        onEnd.run();
        return () -> {};
    }

    /**
     * Refuses a request.
     *
     * @param admission the request
     * @param kind the kind of refusal
     * @param onEnd runs when the request has ended
     * @return a cancellation without effect
     */
    private Cancellation refuse(Admission admission, ErrorKind kind, Runnable onEnd) {
        Cancellation cancellation = admission.refuse(kind, mParts.records());
        onEnd.run();
        return cancellation;
    }

    /**
     * Adds the result of a ticket claim to the decision record.
     *
     * @param admission the request
     * @param ticket the ticket
     * @param claim the result of the claim
     */
    private static void recordClaim(Admission admission, Ticket ticket, TicketClaim claim) {
        String name = ticket.home() + "/" + ticket.incarnation() + "/" + ticket.sequence();
        admission
                .record()
                .add(RecordEventKind.TICKET, name, claim.getClass().getSimpleName() + ".");
    }
}
