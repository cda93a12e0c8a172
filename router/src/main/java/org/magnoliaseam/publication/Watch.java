package org.magnoliaseam.publication;

import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.LongSupplier;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.eclipse.jetty.client.BufferingResponseListener;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.Result;
import org.eclipse.jetty.http.HttpStatus;
import org.magnoliaseam.rollout.PlatformRead;
import org.magnoliaseam.rollout.PollSchedule;
import org.magnoliaseam.rollout.ReadOutcome;
import org.magnoliaseam.time.MonotonicClock;

/** Reads a published value repeatedly, one read at a time, on a schedule. Thread-safe. */
public final class Watch {

    /** The largest accepted value, in bytes. */
    private static final int MAX_VALUE_BYTES = 2 * 1024 * 1024;

    /** The time that a read may take beyond its wait, in seconds. */
    private static final int TIMEOUT_SLACK_SECONDS = 5;

    /** Logs failed reads and the first success after them. */
    private static final Logger LOG = LogManager.getLogger("platform");

    /** The HTTP client. */
    private final HttpClient mClient;

    /** The URI of the value, with the query that names the site. */
    private final URI mAddress;

    /** Returns the latest known version of the value. */
    private final LongSupplier mKnownVersion;

    /** Receives each newer value. */
    private final WatchListener mListener;

    /** Runs scheduled reads. */
    private final ScheduledExecutorService mTimers;

    /** Determines the time and the wait of each read. */
    private final PollSchedule mSchedule;

    /** Returns whether this process waits for changes; if not, it only polls. */
    private final BooleanSupplier mWaitsForChanges;

    /** The clock. */
    private final MonotonicClock mClock;

    /** The scheduled read; null before the first one and while a read is in progress. */
    private ScheduledFuture<?> mScheduled;

    /** Whether the last read failed. */
    private boolean mFailing;

    /** Whether the watch was stopped. */
    private boolean mStopped;

    /**
     * Creates a watch.
     *
     * @param client the started HTTP client
     * @param address the URI of the value, with the query that names the site
     * @param knownVersion returns the latest known version of the value
     * @param listener receives each newer value
     * @param timers runs scheduled reads
     * @param schedule determines the time and the wait of each read
     * @param waitsForChanges returns whether this process waits for changes; if not, it only polls
     * @param clock the clock
     */
    public Watch(
            HttpClient client,
            URI address,
            LongSupplier knownVersion,
            WatchListener listener,
            ScheduledExecutorService timers,
            PollSchedule schedule,
            BooleanSupplier waitsForChanges,
            MonotonicClock clock) {
        mClient = client;
        mAddress = address;
        mKnownVersion = knownVersion;
        mListener = listener;
        mTimers = timers;
        mSchedule = schedule;
        mWaitsForChanges = waitsForChanges;
        mClock = clock;
    }

    /** Starts reading. */
    public synchronized void start() {
        schedule(mSchedule.next());
    }

    /** Stops reading. */
    public synchronized void stop() {
        mStopped = true;
    }

    /** Called when a peer has a newer version; brings the next read forward. */
    public synchronized void hint() {
        if (mScheduled != null && mScheduled.cancel(false)) {
            schedule(mSchedule.hint(mClock.nanos()));
        }
    }

    /**
     * Schedules a read, unless the watch was stopped.
     *
     * @param read the read
     */
    private synchronized void schedule(PlatformRead read) {
        if (!mStopped) {
            long delay = Math.max(0, read.atNanos() - mClock.nanos());
            mScheduled = mTimers.schedule(() -> read(read), delay, TimeUnit.NANOSECONDS);
        }
    }

    /**
     * Starts one read.
     *
     * @param read the read
     */
    private void read(PlatformRead read) {
        synchronized (this) {
            mScheduled = null;
        }
        String version = "&newerThan=" + mKnownVersion.getAsLong();
        String wait = "&waitSeconds=" + read.waitSeconds();
        mClient.newRequest(URI.create(mAddress + version + wait))
                .timeout(read.waitSeconds() + TIMEOUT_SLACK_SECONDS, TimeUnit.SECONDS)
                .send(
                        new BufferingResponseListener(MAX_VALUE_BYTES) {
                            @Override
                            public void onComplete(Result result) {
                                completed(result, getContentAsString(StandardCharsets.UTF_8));
                            }
                        });
    }

    /**
     * Handles the end of a read and schedules the next one.
     *
     * @param result the outcome
     * @param body the body of the response
     */
    private void completed(Result result, String body) {
        int status = result.isFailed() ? 0 : result.getResponse().getStatus();
        boolean answered =
                status == HttpStatus.NOT_MODIFIED_304 || status == HttpStatus.OK_200 && apply(body);
        synchronized (this) {
            logTransition(answered, status);
            ReadOutcome outcome = answered ? ReadOutcome.ANSWERED : ReadOutcome.FAILED;
            schedule(mSchedule.finished(outcome, mWaitsForChanges.getAsBoolean(), mClock.nanos()));
        }
    }

    /**
     * Delivers a value. One that cannot be applied does not end the reads.
     *
     * @param body the text of the value
     * @return false if the listener threw
     */
    private boolean apply(String body) {
        try {
            mListener.changed(body);
            return true;
        } catch (RuntimeException | Error e) {
            LOG.error("platform: value not applied, path={}", mAddress.getPath(), e);
            return false;
        }
    }

    /**
     * Logs the first of several consecutive failures, and the first success after them.
     *
     * @param answered whether the platform returned a usable response
     * @param status the HTTP status; 0 if there was no response
     */
    private void logTransition(boolean answered, int status) {
        if (mFailing == answered && !mStopped) {
            LOG.warn(
                    "platform: {}, path={} status={}",
                    answered ? "reads succeed again" : "read failed",
                    mAddress.getPath(),
                    status);
        }
        mFailing = !answered;
    }
}
