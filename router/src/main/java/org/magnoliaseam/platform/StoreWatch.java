package org.magnoliaseam.platform;

import java.util.HashSet;
import java.util.Set;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.magnoliaseam.rollout.ContactSchedule;
import org.magnoliaseam.rollout.OverdueChange;
import org.magnoliaseam.rollout.PublisherContact;
import org.magnoliaseam.rollout.Revision;
import org.magnoliaseam.time.MonotonicClock;

/**
 * Watches one prefix of the metadata store, on its own thread, until it is stopped. Calls that are
 * open at the same time end on this thread one after another; the first answer counts, and later
 * ends of older calls are ignored.
 */
final class StoreWatch implements Runnable {

    /** The HTTP status if the store no longer has the changes since a revision. */
    private static final int GONE = 410;

    /** Logs lost and restored contact with the store. */
    private static final Logger LOG = LogManager.getLogger("store");

    /** Calls the store. */
    private final StoreClient mClient;

    /** The prefix of the keys. */
    private final String mPrefix;

    /** Decides when to call. */
    private final ContactSchedule mSchedule;

    /** Decides when a change that a peer has is overdue. */
    private final OverdueChange mOverdue;

    /** Receives the items. */
    private final StoreListener mListener;

    /** The clock. */
    private final MonotonicClock mClock;

    /** The ends of calls and reports of peers, to be handled on the thread of the watch. */
    private final BlockingQueue<Runnable> mEvents = new LinkedBlockingQueue<>();

    /** The calls whose answer counts. */
    private final Set<Call> mOpen = new HashSet<>();

    /** Whether the watch is to end. */
    private volatile boolean mStopped;

    /** The revision up to which changes are known; none if all items have to be read. */
    private Revision mRevision = Revision.NONE;

    /** The newest revision of any applied answer, which later ones must not fall behind. */
    private Revision mNewest = Revision.NONE;

    /** Tells outages from calls that the store cut. */
    private final PublisherContact mContact;

    /** The number of waiting calls that the store cut. */
    private final AtomicLong mCuts = new AtomicLong();

    /** The number of outages. */
    private final AtomicLong mOutages = new AtomicLong();

    /**
     * Identifies a call.
     *
     * @param number the number of the call
     * @param startNanos the local monotonic time at which it started
     * @param waitMillis the time for which it waits for changes in milliseconds
     * @param full whether it reads all items rather than changes
     */
    private record Call(long number, long startNanos, long waitMillis, boolean full) {}

    /** The number of calls so far. */
    private long mCalls;

    /**
     * Creates a watch.
     *
     * @param client calls the store
     * @param prefix the prefix of the keys
     * @param schedule decides when to call
     * @param overdue decides when a change that a peer has is overdue
     * @param contact tells outages from calls that the store cut
     * @param listener receives the items
     * @param clock the clock
     */
    StoreWatch(
            StoreClient client,
            String prefix,
            ContactSchedule schedule,
            OverdueChange overdue,
            PublisherContact contact,
            StoreListener listener,
            MonotonicClock clock) {
        mClient = client;
        mPrefix = prefix;
        mSchedule = schedule;
        mOverdue = overdue;
        mListener = listener;
        mClock = clock;
        mContact = contact;
    }

    /**
     * Returns how many waiting calls the store has cut. Called on any thread.
     *
     * @return the number since the start
     */
    long cuts() {
        return mCuts.get();
    }

    /**
     * Returns how many outages the store has had. Called on any thread.
     *
     * @return the number since the start
     */
    long outages() {
        return mOutages.get();
    }

    /** Ends the watch. */
    void stop() {
        mStopped = true;
        mEvents.add(() -> {});
    }

    /**
     * Receives the revision of a change that another entry VM has applied. It is ignored without
     * contact, when calls are made at intervals anyway. Called on any thread.
     *
     * @param revision the revision
     */
    void heard(Revision revision) {
        mEvents.add(
                () -> {
                    if (!mContact.isLost()) {
                        mOverdue.heard(revision, mRevision, mClock.nanos());
                    }
                });
    }

    @Override
    public void run() {
        while (!mStopped) {
            try {
                runOnce();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                return;
            } catch (RuntimeException | Error e) {
                LOG.error("store: watch failed, prefix={}", mPrefix, e);
            }
        }
    }

    /**
     * Starts a call if one is due, and otherwise waits for the next event.
     *
     * @throws InterruptedException if the thread was interrupted
     */
    private void runOnce() throws InterruptedException {
        long now = mClock.nanos();
        long untilCall = mSchedule.nanosUntilCall(now);
        long untilOverdue =
                mSchedule.isPausing(now)
                        ? Long.MAX_VALUE
                        : mOverdue.nanosUntilOverdue(mRevision, now);
        if (untilCall <= 0) {
            startCall();
        } else if (untilOverdue <= 0) {
            LOG.info(
                    "store: change of a peer is overdue, revision={} known={}",
                    mOverdue.take(now),
                    mRevision);
            mSchedule.overdue(now);
        } else {
            Runnable event = mEvents.poll(Math.min(untilCall, untilOverdue), TimeUnit.NANOSECONDS);
            if (event != null) {
                event.run();
            }
        }
    }

    /** Reads all items on the first call, and changes on later ones. */
    private void startCall() {
        long now = mClock.nanos();
        Call call =
                new Call(++mCalls, now, mSchedule.waitMillis(), mRevision.equals(Revision.NONE));
        mSchedule.started(now);
        mOverdue.called(now);
        mOpen.add(call);
        try {
            send(call)
                    .whenComplete(
                            (answer, failure) -> mEvents.add(() -> ended(call, answer, failure)));
        } catch (RuntimeException e) {
            ended(call, null, e);
        }
    }

    /**
     * Sends a call.
     *
     * @param call the call
     * @return the answer
     */
    private CompletableFuture<StorePage> send(Call call) {
        long limit = mSchedule.callLimitMillis();
        return call.full()
                ? mClient.readAll(mPrefix, limit)
                : mClient.watch(mPrefix, mRevision, call.waitMillis(), limit);
    }

    /**
     * Handles the end of a call.
     *
     * @param call the call
     * @param page the answer; null if the call failed
     * @param failure why the call failed; null if it was answered
     */
    private void ended(Call call, StorePage page, Throwable failure) {
        if (!mOpen.remove(call)) {
            return;
        }
        if (failure == null && mNewest.isLaterThan(page.revision())) {
            failed(call, new StoreException("older state, revision " + page.revision(), 0));
        } else if (failure == null && !call.full() && page.revision().isRestoredSince(mNewest)) {
            // These changes continue a state that was never read.
            recordContact(call);
            readAll("the store came back from an older copy");
        } else if (failure == null) {
            answered(call, page);
        } else if (cause(failure) instanceof StoreException store && store.status() == GONE) {
            recordContact(call);
            readAll("history no longer available");
        } else if (!call.full()
                && cause(failure) instanceof StoreException store
                && store.tooLarge()) {
            recordContact(call);
            readAll("changes too large for one response");
        } else {
            failed(call, cause(failure));
        }
    }

    /**
     * Makes the next call read all items. The other open calls are ignored from now on.
     *
     * @param reason the reason for the log
     */
    private void readAll(String reason) {
        LOG.info("store: reading all items, known={} reason={}", mRevision, reason);
        mOpen.clear();
        mRevision = Revision.NONE;
        mSchedule.answered(true, mClock.nanos());
    }

    /**
     * Delivers the items of an answer. The other open calls are ignored from now on, so that no
     * answer is applied twice.
     *
     * @param call the call
     * @param page the answer
     */
    private void answered(Call call, StorePage page) {
        mOpen.clear();
        boolean restored = page.revision().isRestoredSince(mNewest);
        boolean changed = !page.items().isEmpty();
        mSchedule.answered(changed || isEarly(call), mClock.nanos());
        recordContact(call);
        if (restored) {
            LOG.warn(
                    "store: came back from an older copy, revision={} known={}",
                    page.revision(),
                    mNewest);
            mListener.restored(page.items());
        } else if (call.full()) {
            mListener.snapshot(page.items());
        } else if (changed) {
            mListener.changed(page.items());
        }
        mRevision = page.revision();
        mNewest = mRevision;
        mListener.upToDate();
    }

    /**
     * Tells whether an answer came long before the end of the wait. Without a pause, a store that
     * does not wait would be called without end.
     *
     * @param call the call
     * @return true if less than half of the wait has passed
     */
    private boolean isEarly(Call call) {
        long open = TimeUnit.NANOSECONDS.toMillis(mClock.nanos() - call.startNanos());
        return open < call.waitMillis() / 2;
    }

    /**
     * Records that a call was answered.
     *
     * @param call the call
     */
    private void recordContact(Call call) {
        long now = mClock.nanos();
        long awayNanos = mContact.awayNanos(now);
        PublisherContact.Regained regained = mContact.answered(now);
        if (regained.lost()) {
            LOG.info(
                    "store: contact regained, failures={} call_ms={} away_ms={} outage={}"
                            + " revision={}",
                    regained.failures(),
                    TimeUnit.NANOSECONDS.toMillis(now - call.startNanos()),
                    TimeUnit.NANOSECONDS.toMillis(awayNanos),
                    regained.outage(),
                    mRevision);
        }
        if (regained.outage()) {
            mOutages.incrementAndGet();
            mListener.returned();
        }
    }

    /**
     * Records a failed call.
     *
     * @param call the call
     * @param cause why it failed
     */
    private void failed(Call call, Throwable cause) {
        long now = mClock.nanos();
        mSchedule.failed(call.startNanos(), now);
        PublisherContact.Failure failure = PublisherContact.Failure.NO_ANSWER;
        if (isCut(call, cause)) {
            failure = PublisherContact.Failure.CUT;
            mCuts.incrementAndGet();
        }
        if (mContact.failed(failure, call.startNanos(), now)) {
            LOG.warn(
                    "store: contact lost, call_ms={} away_ms={} revision={} cause={}",
                    TimeUnit.NANOSECONDS.toMillis(now - call.startNanos()),
                    TimeUnit.NANOSECONDS.toMillis(mContact.awayNanos(now)),
                    mRevision,
                    cause.getMessage());
        }
    }

    /**
     * Tells whether the store ended a call that waited for changes, with or without a response.
     *
     * @param call the failed call
     * @param cause why it failed
     * @return false for a call that does not wait, and one that was not connected or timed out
     */
    private static boolean isCut(Call call, Throwable cause) {
        return !call.full()
                && call.waitMillis() > 0
                && cause instanceof StoreException store
                && (store.connectionEnded() || store.status() > 0);
    }

    /**
     * Returns the failure that a future reports.
     *
     * @param failure the failure, possibly wrapped
     * @return the failure itself
     */
    private static Throwable cause(Throwable failure) {
        return failure instanceof CompletionException ? failure.getCause() : failure;
    }
}
