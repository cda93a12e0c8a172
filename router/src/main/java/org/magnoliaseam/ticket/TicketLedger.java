package org.magnoliaseam.ticket;

import java.util.Iterator;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Function;
import org.magnoliaseam.error.ErrorKind;
import org.magnoliaseam.error.Refusal;
import org.magnoliaseam.error.Result;
import org.magnoliaseam.model.ClientAccountId;
import org.magnoliaseam.model.Incarnation;
import org.magnoliaseam.model.RequestClassId;
import org.magnoliaseam.model.VmId;

/**
 * Keeps the tickets that this process has issued and allows at most one execution for each. All
 * times are milliseconds of the monotonic clock since the start of this process. Thread-safe.
 */
public final class TicketLedger {

    /** The refusal for a request that ran but whose answer was too large to keep. */
    private static final Refusal ANSWER_NOT_KEPT =
            new Refusal(
                    ErrorKind.OUTCOME_UNKNOWN,
                    "The request ran and was not repeated; its answer was too large to keep.");

    /** The entry VM of this process. */
    private final VmId mVm;

    /** The incarnation of this process. */
    private final Incarnation mIncarnation;

    /** The memory limits. */
    private final LedgerLimits mLimits;

    /** The tickets by sequence number. */
    private final ConcurrentHashMap<Long, LedgerEntry> mEntries = new ConcurrentHashMap<>();

    /** The number of tickets kept. */
    private final AtomicInteger mCount = new AtomicInteger();

    /** The total size of the kept answer bodies in bytes. */
    private final AtomicLong mAnswerBytes = new AtomicLong();

    /** The last sequence number assigned. */
    private final AtomicLong mSequence = new AtomicLong();

    /** Whether the process is shutting down. */
    private volatile boolean mShuttingDown;

    /**
     * Creates an empty ledger.
     *
     * @param vm the entry VM of this process
     * @param incarnation the incarnation of this process
     * @param limits the memory limits
     */
    public TicketLedger(VmId vm, Incarnation incarnation, LedgerLimits limits) {
        mVm = vm;
        mIncarnation = incarnation;
        mLimits = limits;
    }

    /**
     * Issues a ticket.
     *
     * @param account the client account that may use the ticket
     * @param requestClass the request class that the ticket is for
     * @param ttlMillis the time until expiry, in milliseconds
     * @param nowMillis the current time
     * @return the ticket, or a refusal if the process is shutting down or the ledger is full
     */
    public Result<Ticket, Refusal> issue(
            ClientAccountId account, RequestClassId requestClass, long ttlMillis, long nowMillis) {
        if (mShuttingDown) {
            return Result.err(Refusal.of(ErrorKind.LEAVING));
        }
        if (mCount.incrementAndGet() > mLimits.maxTickets()) {
            mCount.decrementAndGet();
            return Result.err(new Refusal(ErrorKind.OVERLOADED, "Too many tickets are open."));
        }
        long sequence = mSequence.incrementAndGet();
        Ticket ticket =
                new Ticket(
                        mVm, mIncarnation, sequence, nowMillis, ttlMillis, account, requestClass);
        mEntries.put(sequence, new LedgerEntry(ticket));
        return Result.ok(ticket);
    }

    /**
     * Claims a ticket whose MAC has been verified.
     *
     * @param ticket the ticket
     * @param account the client account of the request
     * @param requestClass the class of the request
     * @param hash the hash of the request
     * @param nowMillis the current time
     * @return the result; {@link TicketClaim.Run} at most once for each ticket
     */
    public TicketClaim claim(
            Ticket ticket,
            ClientAccountId account,
            RequestClassId requestClass,
            RequestHash hash,
            long nowMillis) {
        if (!ticket.home().equals(mVm) || !ticket.incarnation().equals(mIncarnation)) {
            return new TicketClaim.NotHome(ticket.home(), ticket.incarnation());
        }
        if (!ticket.account().equals(account) || !ticket.requestClass().equals(requestClass)) {
            return new TicketClaim.Mismatch();
        }
        LedgerEntry entry = mEntries.get(ticket.sequence());
        if (entry == null) {
            return new TicketClaim.Expired();
        }
        if (!entry.ticket().equals(ticket)) {
            return new TicketClaim.Mismatch();
        }
        entry.expire(nowMillis);
        LedgerEntry.State state = entry.state();
        if (state instanceof LedgerEntry.Open) {
            if (entry.changeState(state, new LedgerEntry.Running(hash))) {
                return new TicketClaim.Run();
            }
            state = entry.state();
        }
        return resultForUsed(state, hash);
    }

    /**
     * Records that a request ran, and keeps its answer if the memory limits allow it.
     *
     * @param ticket the ticket that was claimed
     * @param answer the answer
     * @param nowMillis the current time
     */
    public void complete(Ticket ticket, StoredAnswer answer, long nowMillis) {
        long bytes = answer.body().length;
        boolean withinAnswerLimit = bytes <= mLimits.maxAnswerBytes();
        if (withinAnswerLimit && mAnswerBytes.addAndGet(bytes) <= mLimits.maxTotalAnswerBytes()) {
            if (!finish(ticket, hash -> new LedgerEntry.Answered(hash, answer, nowMillis))) {
                mAnswerBytes.addAndGet(-bytes);
            }
            return;
        }
        if (withinAnswerLimit) {
            mAnswerBytes.addAndGet(-bytes);
        }
        completeTooLarge(ticket, nowMillis);
    }

    /**
     * Records that a request ran and that its answer is too large to keep.
     *
     * @param ticket the ticket that was claimed
     * @param nowMillis the current time
     */
    public void completeTooLarge(Ticket ticket, long nowMillis) {
        completeRefused(ticket, ANSWER_NOT_KEPT, nowMillis);
    }

    /**
     * Records that a request ended with a refusal. The ticket counts as used even if the request
     * did not run.
     *
     * @param ticket the ticket that was claimed
     * @param refusal the refusal, which later uses of the ticket get as well
     * @param nowMillis the current time
     */
    public void completeRefused(Ticket ticket, Refusal refusal, long nowMillis) {
        finish(ticket, hash -> new LedgerEntry.Refused(hash, refusal, nowMillis));
    }

    /**
     * Removes tickets whose retention time has passed; called about once a second. A removed ticket
     * can never be used again.
     *
     * @param nowMillis the current time
     */
    public void evict(long nowMillis) {
        Iterator<LedgerEntry> entries = mEntries.values().iterator();
        while (entries.hasNext()) {
            LedgerEntry entry = entries.next();
            entry.expire(nowMillis);
            if (entry.isEvictable(nowMillis, mLimits.retentionMillis())) {
                entries.remove();
                mCount.decrementAndGet();
                releaseAnswer(entry.state());
            }
        }
    }

    /** Stops issuing tickets because the process is shutting down. */
    public void leave() {
        mShuttingDown = true;
    }

    /**
     * Returns whether a process that is shutting down may stop as far as its tickets are concerned.
     *
     * @param nowMillis the current time
     * @return true if every ticket has expired and none has a running request
     */
    public boolean allExpired(long nowMillis) {
        return mEntries.values().stream().allMatch(entry -> entry.isSettled(nowMillis));
    }

    /**
     * Returns the number of tickets kept.
     *
     * @return the number
     */
    public int size() {
        return mCount.get();
    }

    /**
     * Determines the result for a ticket that was used before or has expired.
     *
     * @param state the state of the ticket
     * @param hash the hash of the request
     * @return the result
     */
    private static TicketClaim resultForUsed(LedgerEntry.State state, RequestHash hash) {
        if (state instanceof LedgerEntry.Running running) {
            return running.hash().equals(hash)
                    ? new TicketClaim.InProgress()
                    : new TicketClaim.Mismatch();
        } else if (state instanceof LedgerEntry.Answered answered) {
            return answered.hash().equals(hash)
                    ? new TicketClaim.Replay(answered.answer())
                    : new TicketClaim.Mismatch();
        } else if (state instanceof LedgerEntry.Refused refused) {
            return refused.hash().equals(hash)
                    ? new TicketClaim.Refused(refused.refusal())
                    : new TicketClaim.Mismatch();
        }
        return new TicketClaim.ExpiredUnused();
    }

    /**
     * Changes the state of a ticket from running to its final state.
     *
     * @param ticket the ticket
     * @param finalState creates the final state from the hash of the request
     * @return true if the ticket was running
     */
    private boolean finish(Ticket ticket, Function<RequestHash, LedgerEntry.State> finalState) {
        LedgerEntry entry = mEntries.get(ticket.sequence());
        if (entry == null || !(entry.state() instanceof LedgerEntry.Running running)) {
            return false;
        }
        return entry.changeState(running, finalState.apply(running.hash()));
    }

    /**
     * Subtracts the size of an answer that is no longer kept from the total.
     *
     * @param state the final state of the ticket
     */
    private void releaseAnswer(LedgerEntry.State state) {
        if (state instanceof LedgerEntry.Answered answered) {
            mAnswerBytes.addAndGet(-answered.answer().body().length);
        }
    }
}
