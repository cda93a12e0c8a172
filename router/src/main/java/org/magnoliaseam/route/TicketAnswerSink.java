package org.magnoliaseam.route;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.util.concurrent.CompletableFuture;
import org.magnoliaseam.error.Refusal;
import org.magnoliaseam.exchange.AnswerHead;
import org.magnoliaseam.exchange.AnswerSink;
import org.magnoliaseam.ticket.StoredAnswer;
import org.magnoliaseam.ticket.Ticket;

/**
 * Relays the answer of a request that ran with a ticket to the caller, and stores it for later uses
 * of the ticket.
 */
final class TicketAnswerSink implements AnswerSink {

    /** The maximum size of a stored answer in bytes. */
    static final int MAX_STORED_BYTES = 64 * 1024;

    /** Receives the answer for the caller. */
    private final AnswerSink mSink;

    /** Stores answers. */
    private final TicketService mTickets;

    /** The ticket. */
    private final Ticket mTicket;

    /** The body so far. */
    private final ByteArrayOutputStream mBody = new ByteArrayOutputStream();

    /** The head of the answer. */
    private AnswerHead mHead;

    /** Whether the answer is too large to store. */
    private boolean mTooLarge;

    /**
     * Creates a sink.
     *
     * @param sink receives the answer for the caller
     * @param tickets stores answers
     * @param ticket the ticket
     */
    TicketAnswerSink(AnswerSink sink, TicketService tickets, Ticket ticket) {
        mSink = sink;
        mTickets = tickets;
        mTicket = ticket;
    }

    @Override
    public void head(AnswerHead head) {
        mHead = head;
        mSink.head(head);
    }

    @Override
    public CompletableFuture<Void> write(ByteBuffer bytes) {
        if (mBody.size() + bytes.remaining() > MAX_STORED_BYTES) {
            mTooLarge = true;
        } else if (!mTooLarge) {
            byte[] copy = new byte[bytes.remaining()];
            bytes.duplicate().get(copy);
            mBody.writeBytes(copy);
        }
        return mSink.write(bytes);
    }

    @Override
    public void end() {
        if (mTooLarge) {
            mTickets.completeTooLarge(mTicket);
        } else {
            mTickets.complete(mTicket, new StoredAnswer(mHead, mBody.toByteArray()));
        }
        mSink.end();
    }

    @Override
    public void refuse(Refusal refusal) {
        mTickets.refuse(mTicket, refusal);
        mSink.refuse(refusal);
    }
}
