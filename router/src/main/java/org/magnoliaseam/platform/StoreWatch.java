package org.magnoliaseam.platform;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/** Follows one prefix of the metadata store on a thread of its own until it is stopped. */
final class StoreWatch implements Runnable {

    /** The longest wait for a change in milliseconds; it bounds how long a silent store is. */
    private static final long WAIT_MILLIS = 3500;

    /** The pause after a change in milliseconds, so that one call brings several changes. */
    private static final long GATHER_MILLIS = 150;

    /** The shortest pause after a failed call in milliseconds. */
    private static final long MIN_PAUSE_MILLIS = 100;

    /** The longest pause after a failed call in milliseconds. */
    private static final long MAX_PAUSE_MILLIS = 800;

    /** The status of an answer that says that the history is gone. */
    private static final int GONE = 410;

    /** Writes lost and regained contact. */
    private static final Logger LOG = LogManager.getLogger("store");

    /** Calls the store. */
    private final StoreClient mClient;

    /** The beginning of the keys. */
    private final String mPrefix;

    /** Takes what the store holds. */
    private final StoreListener mListener;

    /** Whether the watch should end. */
    private volatile boolean mStopped;

    /** The revision up to which changes are known; negative before the first full read. */
    private long mRevision = -1;

    /** The failed calls in a row. */
    private int mFailures;

    /**
     * Creates a watch.
     *
     * @param client calls the store
     * @param prefix the beginning of the keys
     * @param listener takes what the store holds
     */
    StoreWatch(StoreClient client, String prefix, StoreListener listener) {
        mClient = client;
        mPrefix = prefix;
        mListener = listener;
    }

    /** Ends the watch after its present call. */
    void stop() {
        mStopped = true;
    }

    @Override
    public void run() {
        while (!mStopped) {
            try {
                step();
            } catch (StoreException e) {
                lost(e);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                return;
            } catch (RuntimeException e) {
                LOG.error("store: following failed, prefix={}", mPrefix, e);
                pause();
            }
        }
    }

    /**
     * Reads everything once, then waits for changes.
     *
     * @throws StoreException if the store gave no answer
     * @throws InterruptedException if the thread was interrupted
     */
    private void step() throws StoreException, InterruptedException {
        if (mRevision < 0) {
            readAll();
            return;
        }
        StorePage page = mClient.watch(mPrefix, mRevision, WAIT_MILLIS);
        regained();
        if (!page.items().isEmpty()) {
            mListener.changed(page.items());
        }
        mRevision = Math.max(mRevision, page.revision());
        mListener.confirmed();
        if (!page.items().isEmpty()) {
            LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(GATHER_MILLIS));
        }
    }

    /**
     * Reads all pages. They are no snapshot, so changes count from the revision of the first page.
     *
     * @throws StoreException if the store gave no answer
     * @throws InterruptedException if the thread was interrupted
     */
    private void readAll() throws StoreException, InterruptedException {
        StorePage page = mClient.range(mPrefix, "");
        long revision = page.revision();
        List<StoreItem> items = new ArrayList<>(page.items());
        while (page.more() && !page.items().isEmpty()) {
            page = mClient.range(mPrefix, items.get(items.size() - 1).key());
            items.addAll(page.items());
        }
        regained();
        mListener.snapshot(items);
        mListener.confirmed();
        mRevision = revision;
    }

    /** Notes a call that went well. */
    private void regained() {
        if (mFailures > 0) {
            LOG.info("store: contact regained, prefix={} failures={}", mPrefix, mFailures);
            mFailures = 0;
            mListener.regained();
        }
    }

    /**
     * Notes a failed call and waits before the next one.
     *
     * @param cause the failure
     */
    private void lost(StoreException cause) {
        if (cause.status() == GONE) {
            LOG.info("store: history gone, reading again, prefix={}", mPrefix);
            mRevision = -1;
            return;
        }
        if (mFailures == 0) {
            LOG.warn("store: contact lost, prefix={} cause={}", mPrefix, cause.getMessage());
        }
        mFailures++;
        pause();
    }

    /** Waits a random time that grows with the failures in a row. */
    private void pause() {
        long limit = Math.min(MAX_PAUSE_MILLIS, MIN_PAUSE_MILLIS << Math.min(mFailures, 3));
        long millis = ThreadLocalRandom.current().nextLong(limit / 2, limit + 1);
        LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(millis));
    }
}
