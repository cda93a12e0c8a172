package org.magnoliaseam.route;

import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import org.magnoliaseam.caller.TicketIssuer;
import org.magnoliaseam.error.ErrorKind;
import org.magnoliaseam.error.Refusal;
import org.magnoliaseam.error.Result;
import org.magnoliaseam.exchange.AuthenticatedRequest;
import org.magnoliaseam.model.ClientAccountId;
import org.magnoliaseam.model.RequestClassId;
import org.magnoliaseam.ticket.DecodedTicket;
import org.magnoliaseam.ticket.RequestHash;
import org.magnoliaseam.ticket.StoredAnswer;
import org.magnoliaseam.ticket.Ticket;
import org.magnoliaseam.ticket.TicketClaim;
import org.magnoliaseam.ticket.TicketCodec;
import org.magnoliaseam.ticket.TicketLedger;
import org.magnoliaseam.time.MonotonicClock;

/** Issues and validates tickets, with times relative to the start of this process. Thread-safe. */
public final class TicketService implements TicketIssuer {

    /** Signs and verifies tickets. */
    private final TicketCodec mCodec;

    /** The tickets of this process. */
    private final TicketLedger mLedger;

    /** Returns the time for which a ticket can be used, in milliseconds. */
    private final LongSupplier mTtlMillis;

    /** The clock. */
    private final MonotonicClock mClock;

    /** The local monotonic time at which the process started. */
    private final long mStartNanos;

    /**
     * Creates a ticket service.
     *
     * @param codec signs and verifies tickets
     * @param ledger the tickets of this process
     * @param ttlMillis returns the time for which a ticket can be used, in milliseconds
     * @param clock the clock
     */
    public TicketService(
            TicketCodec codec, TicketLedger ledger, LongSupplier ttlMillis, MonotonicClock clock) {
        mCodec = codec;
        mLedger = ledger;
        mTtlMillis = ttlMillis;
        mClock = clock;
        mStartNanos = clock.nanos();
    }

    @Override
    public Result<String, Refusal> issue(ClientAccountId account, RequestClassId requestClass) {
        return mLedger.issue(account, requestClass, mTtlMillis.getAsLong(), nowMillis())
                .fold(ticket -> Result.ok(mCodec.encode(ticket)), Result::err);
    }

    @Override
    public long ttlSeconds() {
        return TimeUnit.MILLISECONDS.toSeconds(mTtlMillis.getAsLong());
    }

    /** Stops issuing tickets. */
    public void leave() {
        mLedger.leave();
    }

    /** Removes tickets whose retention period has passed. */
    public void evict() {
        mLedger.evict(nowMillis());
    }

    /**
     * Returns the number of tickets in the ledger.
     *
     * @return the number of tickets
     */
    public int size() {
        return mLedger.size();
    }

    /**
     * Returns whether all tickets have expired, so that a leaving process may stop.
     *
     * @return true if no ticket can be used anymore
     */
    public boolean allExpired() {
        return mLedger.allExpired(nowMillis());
    }

    /**
     * Decodes a ticket and verifies its signature.
     *
     * @param text the text that the caller sent
     * @return the ticket, or the refusal of a forged or malformed one
     */
    Result<Ticket, Refusal> decode(String text) {
        if (mCodec.decode(text) instanceof DecodedTicket.Valid valid) {
            return Result.ok(valid.ticket());
        }
        return Result.err(Refusal.of(ErrorKind.TICKET_FORGED));
    }

    /**
     * Claims a ticket for a request.
     *
     * @param ticket the ticket
     * @param request the request that uses it
     * @return the result of the claim
     */
    TicketClaim claim(Ticket ticket, AuthenticatedRequest request) {
        RequestHash hash = RequestHash.of(request.method(), request.path(), request.body());
        return mLedger.claim(
                ticket, request.account(), request.requestClass().id(), hash, nowMillis());
    }

    /**
     * Stores the answer of a request that ran.
     *
     * @param ticket the ticket
     * @param answer the answer
     */
    void complete(Ticket ticket, StoredAnswer answer) {
        mLedger.complete(ticket, answer, nowMillis());
    }

    /**
     * Records that a request ran and that its answer is too large to keep.
     *
     * @param ticket the ticket
     */
    void completeTooLarge(Ticket ticket) {
        mLedger.completeTooLarge(ticket, nowMillis());
    }

    /**
     * Stores the refusal of a request.
     *
     * @param ticket the ticket
     * @param refusal the refusal
     */
    void refuse(Ticket ticket, Refusal refusal) {
        mLedger.completeRefused(ticket, refusal, nowMillis());
    }

    /**
     * Returns the current time for the ticket ledger.
     *
     * @return milliseconds since the start of the process
     */
    private long nowMillis() {
        return TimeUnit.NANOSECONDS.toMillis(mClock.nanos() - mStartNanos);
    }
}
