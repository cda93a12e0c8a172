package org.magnoliaseam.permit;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.magnoliaseam.failure.FailedStep;
import org.magnoliaseam.failure.FailureLog;
import org.magnoliaseam.gossip.Membership;
import org.magnoliaseam.gossip.PeerEndpoint;
import org.magnoliaseam.time.MonotonicClock;

/**
 * Asks the homes of engines for permits, and answers for the engines whose home this entry VM is.
 * Thread-safe. Callbacks run without its lock.
 */
public final class EnginePermits {

    /** The time after which an unanswered question is given up, in nanoseconds. */
    private static final long ANSWER_NANOS = 25_000_000L;

    /**
     * The time after which an unanswered question about a slot is repeated once, in nanoseconds. A
     * lost datagram would otherwise move the count of the engine to another home for a second.
     */
    private static final long REPEAT_NANOS = 8_000_000L;

    /** Sends messages to other entry VMs. */
    private final PermitSender mSender;

    /** Provides the entry VMs that may be alive. */
    private final Supplier<Membership> mMembers;

    /** Logs unexpected failures. */
    private final FailureLog mFailures;

    /** The clock. */
    private final MonotonicClock mClock;

    /** The homes of the engines. */
    private final EngineHomes mHomes = new EngineHomes();

    /** The permits of the engines whose home this entry VM is. */
    private final PermitLedger mLedger = new PermitLedger();

    /** Decides for which engines the homes count slots. */
    private final SlotCounting mCounting = new SlotCounting();

    /** The unanswered questions by number. */
    private final Map<Long, Question> mQuestions = new HashMap<>();

    /** The permits that were granted to this entry VM, or may have been. */
    private final HeldPermits mHeld = new HeldPermits();

    /** Numbers the permits. */
    private final PermitIds mIds;

    /**
     * Holds an unanswered question.
     *
     * @param home the entry VM that was asked
     * @param ask what was asked for
     * @param nanos the local monotonic time of the question
     * @param repeated whether it has been sent twice
     * @param callback receives the outcome
     */
    private record Question(
            PeerEndpoint home,
            PermitMessage.Ask ask,
            long nanos,
            boolean repeated,
            Consumer<PermitOutcome> callback) {

        /**
         * Returns the question after it has been sent again.
         *
         * @return the same question
         */
        private Question again() {
            return new Question(home, ask, nanos, true, callback);
        }

        /**
         * Tells whether the question has to be sent again.
         *
         * @param nowNanos the local monotonic time
         * @return true if it asks for a slot and should have been answered
         */
        private boolean isDue(long nowNanos) {
            return ask.slots() > 0 && !repeated && nowNanos - nanos >= REPEAT_NANOS;
        }
    }

    /**
     * Creates permits.
     *
     * @param ids numbers the permits
     * @param sender sends messages to other entry VMs
     * @param members provides the entry VMs that may be alive
     * @param failures logs unexpected failures
     * @param clock the clock
     */
    public EnginePermits(
            PermitIds ids,
            PermitSender sender,
            Supplier<Membership> members,
            FailureLog failures,
            MonotonicClock clock) {
        mIds = ids;
        mSender = sender;
        mMembers = members;
        mFailures = failures;
        mClock = clock;
    }

    /**
     * Returns the number of a new permit.
     *
     * @return the number
     */
    public long nextId() {
        return mIds.next();
    }

    /**
     * Asks for a permit.
     *
     * @param question the question, with the published slots of the engine
     * @param callback receives the outcome, on this thread or another one
     */
    public void ask(PermitMessage.Ask question, Consumer<PermitOutcome> callback) {
        long now = mClock.nanos();
        Membership members = mMembers.get();
        PermitMessage.Ask ask;
        PeerEndpoint home;
        PermitMessage.Reply own = null;
        synchronized (this) {
            boolean counted = mCounting.isCounted(members.vms(), question.slots());
            ask = question.withSlots(counted ? question.slots() : 0);
            home = mHomes.home(ask.server(), members, now);
            if (home.equals(members.own())) {
                own = mLedger.ask(home, ask, now);
                recordGrant(own, home, ask);
            } else {
                mQuestions.put(ask.id(), new Question(home, ask, now, false, callback));
            }
        }
        if (own == null) {
            send(home, ask);
        } else {
            callback.accept(outcome(own));
        }
    }

    /**
     * Ends a permit for a prompt; does nothing if it was not granted. One that counts for a slot
     * lasts until its request has ended.
     *
     * @param done the notice for its home
     */
    public void done(PermitMessage.Done done) {
        PeerEndpoint home;
        synchronized (this) {
            home = mHeld.processed(done.id());
            if (home != null && home.equals(mMembers.get().own())) {
                mLedger.done(home, done);
                return;
            }
        }
        if (home != null) {
            send(home, done);
        }
    }

    /**
     * Ends a permit because its request has ended; does nothing if it has ended before or was not
     * granted.
     *
     * @param done the notice for its home
     */
    public void ended(PermitMessage.Done done) {
        PermitMessage.Release release = new PermitMessage.Release(done.id(), done.server());
        PeerEndpoint home;
        synchronized (this) {
            if (!mHeld.isSlot(done.id())) {
                home = null;
            } else {
                home = mHeld.remove(done.id());
                if (home.equals(mMembers.get().own())) {
                    mLedger.release(home, release, mClock.nanos());
                    return;
                }
            }
        }
        if (home == null) {
            done(done);
        } else {
            send(home, release);
        }
    }

    /**
     * Ends the claim that a refused permit left, because the request no longer waits for the
     * engine.
     *
     * @param done the notice for its home
     */
    public void withdraw(PermitMessage.Done done) {
        PeerEndpoint home;
        Membership members = mMembers.get();
        synchronized (this) {
            home = mHomes.home(done.server(), members, mClock.nanos());
            if (home.equals(members.own())) {
                mLedger.done(home, done);
                return;
            }
        }
        send(home, done);
    }

    /**
     * Handles a message of another entry VM.
     *
     * @param peer the sender
     * @param message the message
     */
    public void heard(PeerEndpoint peer, PermitMessage message) {
        if (message instanceof PermitMessage.Ask ask) {
            PermitMessage.Reply reply;
            synchronized (this) {
                reply = mLedger.ask(peer, ask, mClock.nanos());
            }
            send(peer, reply);
        } else if (message instanceof PermitMessage.Done done) {
            synchronized (this) {
                mLedger.done(peer, done);
            }
        } else if (message instanceof PermitMessage.Release release) {
            synchronized (this) {
                mLedger.release(peer, release, mClock.nanos());
            }
        } else if (message instanceof PermitMessage.Renewal renewal) {
            synchronized (this) {
                mLedger.renew(peer, renewal, mClock.nanos());
            }
        } else if (message instanceof PermitMessage.Reply reply) {
            answered(peer, reply);
        }
    }

    /** Gives up questions that were not answered in time, and renews permits. */
    public void tick() {
        List<Question> late = new ArrayList<>();
        List<Question> repeated = new ArrayList<>();
        Map<PeerEndpoint, PermitMessage.Renewal> renewals;
        synchronized (this) {
            long now = mClock.nanos();
            mLedger.expire(now);
            Iterator<Map.Entry<Long, Question>> all = mQuestions.entrySet().iterator();
            while (all.hasNext()) {
                Map.Entry<Long, Question> entry = all.next();
                Question question = entry.getValue();
                if (now - question.nanos() >= ANSWER_NANOS) {
                    all.remove();
                    mHomes.silent(question.home(), now);
                    mHeld.granted(question.home(), question.ask(), now);
                    late.add(question);
                } else if (question.isDue(now)) {
                    entry.setValue(question.again());
                    repeated.add(question);
                }
            }
            Membership members = mMembers.get();
            renewals = mHeld.renewals(server -> mHomes.home(server, members, now), now);
            PermitMessage.Renewal own = renewals.remove(members.own());
            if (own != null) {
                mLedger.renew(members.own(), own, now);
            }
        }
        repeated.forEach(question -> send(question.home(), question.ask()));
        renewals.forEach(this::send);
        late.forEach(question -> callBack(question, new PermitOutcome.Unknown()));
    }

    /**
     * Handles the answer to a question.
     *
     * @param peer the sender
     * @param reply the answer
     */
    private void answered(PeerEndpoint peer, PermitMessage.Reply reply) {
        Question question;
        synchronized (this) {
            question = mQuestions.remove(reply.id());
            mHomes.answered(peer);
            if (question != null) {
                recordGrant(reply, peer, question.ask());
            }
        }
        if (question != null) {
            callBack(question, outcome(reply));
        }
    }

    /**
     * Passes the outcome of a question on; a failure does not keep others from their outcome.
     *
     * @param question the question
     * @param outcome its outcome
     */
    private void callBack(Question question, PermitOutcome outcome) {
        mFailures.guard(FailedStep.PERMIT, "", () -> question.callback().accept(outcome));
    }

    /**
     * Sends a message, which may be lost, so that a failure changes nothing for others.
     *
     * @param peer the receiver
     * @param message the message
     */
    private void send(PeerEndpoint peer, PermitMessage message) {
        mFailures.guard(FailedStep.PERMIT, "", () -> mSender.send(peer, message));
    }

    /**
     * Records which home granted a permit.
     *
     * @param reply the answer
     * @param home the home
     * @param ask the question
     */
    private void recordGrant(PermitMessage.Reply reply, PeerEndpoint home, PermitMessage.Ask ask) {
        if (reply.granted()) {
            mHeld.granted(home, ask, mClock.nanos());
        }
    }

    /**
     * Returns the permits of this entry VM that count for a slot.
     *
     * @return the number of permits
     */
    public synchronized int heldSlots() {
        return mHeld.slots();
    }

    /**
     * Returns the questions that this entry VM refused as a home because of the slots.
     *
     * @return the number of refusals so far
     */
    public synchronized long slotRefusals() {
        return mLedger.slotRefusals();
    }

    /**
     * Returns the slots in use at the engines whose home this entry VM is.
     *
     * @return the number of slots
     */
    public synchronized int usedSlots() {
        return mLedger.usedSlots(mClock.nanos());
    }

    /**
     * Returns the slots that are kept for the most urgent requests at the engines whose home this
     * entry VM is.
     *
     * @return the number of slots, with those that these requests use
     */
    public synchronized int reservedSlots() {
        return mLedger.reservedSlots(mClock.nanos());
    }

    /**
     * Converts an answer to an outcome.
     *
     * @param reply the answer
     * @return the outcome
     */
    private static PermitOutcome outcome(PermitMessage.Reply reply) {
        return reply.granted()
                ? new PermitOutcome.Granted(reply.waitingTokens())
                : new PermitOutcome.Busy(reply.waitingTokens());
    }
}
