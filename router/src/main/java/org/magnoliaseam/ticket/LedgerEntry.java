package org.magnoliaseam.ticket;

import java.util.concurrent.atomic.AtomicReference;
import org.magnoliaseam.error.Refusal;

/** Holds one issued ticket and its state. Thread-safe. */
final class LedgerEntry {

    /** The state of a ticket. A ticket starts as {@link Open} and never returns to it. */
    sealed interface State {}

    /** States that the ticket has not been used. */
    record Open() implements State {}

    /** States that the ticket expired before its first use. */
    record ExpiredUnused() implements State {}

    /**
     * States that the request is running.
     *
     * @param hash the hash of the request
     */
    record Running(RequestHash hash) implements State {}

    /**
     * States that the request ended with an answer.
     *
     * @param hash the hash of the request
     * @param answer the answer
     * @param endedAtMillis the time when the request ended, in milliseconds since the start of the
     *     process
     */
    record Answered(RequestHash hash, StoredAnswer answer, long endedAtMillis) implements State {}

    /**
     * States that the request ended and no answer is kept.
     *
     * @param hash the hash of the request
     * @param refusal the refusal that later uses of the ticket get
     * @param endedAtMillis the time when the request ended, in milliseconds since the start of the
     *     process
     */
    record Refused(RequestHash hash, Refusal refusal, long endedAtMillis) implements State {}

    /** The ticket as issued. */
    private final Ticket mTicket;

    /** The current state. */
    private final AtomicReference<State> mState = new AtomicReference<>(new Open());

    /**
     * Creates an entry for an unused ticket.
     *
     * @param ticket the ticket
     */
    LedgerEntry(Ticket ticket) {
        mTicket = ticket;
    }

    /**
     * Returns the ticket.
     *
     * @return the ticket as issued
     */
    Ticket ticket() {
        return mTicket;
    }

    /**
     * Returns the state.
     *
     * @return the current state
     */
    State state() {
        return mState.get();
    }

    /**
     * Changes the state unless another thread has changed it since it was read.
     *
     * @param from the state that was read
     * @param to the new state
     * @return true if the state was changed
     */
    boolean changeState(State from, State to) {
        return mState.compareAndSet(from, to);
    }

    /**
     * Marks the ticket as expired if its time has passed before its first use.
     *
     * @param nowMillis the time in milliseconds since the start of the process
     */
    void expire(long nowMillis) {
        State state = mState.get();
        if (state instanceof Open && nowMillis > mTicket.expiresAtMillis()) {
            changeState(state, new ExpiredUnused());
        }
    }

    /**
     * Returns whether this ticket no longer keeps the process from stopping.
     *
     * @param nowMillis the time in milliseconds since the start of the process
     * @return true if the ticket has expired and no request runs with it
     */
    boolean isSettled(long nowMillis) {
        return nowMillis > mTicket.expiresAtMillis() && !(mState.get() instanceof Running);
    }

    /**
     * Returns whether the ticket can be removed from the ledger.
     *
     * @param nowMillis the time in milliseconds since the start of the process
     * @param retentionMillis the time for which a ticket is kept after its expiry or the end of its
     *     request, whichever is later, in milliseconds
     * @return true if it can
     */
    boolean isEvictable(long nowMillis, long retentionMillis) {
        State state = mState.get();
        long keptSinceMillis = mTicket.expiresAtMillis();
        if (state instanceof Open || state instanceof Running) {
            return false;
        } else if (state instanceof Answered answered) {
            keptSinceMillis = Math.max(keptSinceMillis, answered.endedAtMillis());
        } else if (state instanceof Refused refused) {
            keptSinceMillis = Math.max(keptSinceMillis, refused.endedAtMillis());
        }
        return nowMillis > keptSinceMillis + retentionMillis;
    }
}
