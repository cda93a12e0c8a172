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

/** Reads one value of the platform as a schedule plans, one read at a time. Thread-safe. */
public final class Watch {

    /** The largest accepted value in bytes. */
    private static final int MAX_VALUE_BYTES = 2 * 1024 * 1024;

    /** The time limit of a read beyond its wait, in seconds. */
    private static final int SLACK_SECONDS = 5;

    /** The log. */
    private static final Logger LOG = LogManager.getLogger("platform");

    /** The HTTP client. */
    private final HttpClient mClient;

    /** The address of the value with its query for the site. */
    private final URI mAddress;

    /** Tells the version already known. */
    private final LongSupplier mKnownVersion;

    /** Takes a newer value. */
    private final WatchListener mListener;

    /** Runs planned reads. */
    private final ScheduledExecutorService mTimers;

    /** Plans reads. */
    private final PollSchedule mSchedule;

    /** Tells whether this process watches, or only polls. */
    private final BooleanSupplier mWatcher;

    /** The clock. */
    private final MonotonicClock mClock;

    /** The planned read; null while a read is open. */
    private ScheduledFuture<?> mPlanned;

    /** Whether the last read failed. */
    private boolean mFailing;

    /** Whether the watch was stopped. */
    private boolean mStopped;

    /**
     * Creates a watch.
     *
     * @param client the started HTTP client
     * @param address the address of the value with its query for the site
     * @param knownVersion tells the version already known
     * @param listener takes a newer value
     * @param timers runs planned reads
     * @param schedule plans reads
     * @param watcher tells whether this process watches, or only polls
     * @param clock the clock
     */
    public Watch(
            HttpClient client,
            URI address,
            LongSupplier knownVersion,
            WatchListener listener,
            ScheduledExecutorService timers,
            PollSchedule schedule,
            BooleanSupplier watcher,
            MonotonicClock clock) {
        mClient = client;
        mAddress = address;
        mKnownVersion = knownVersion;
        mListener = listener;
        mTimers = timers;
        mSchedule = schedule;
        mWatcher = watcher;
        mClock = clock;
    }

    /** Starts reading. */
    public synchronized void start() {
        plan(mSchedule.next());
    }

    /** Stops reading. */
    public synchronized void stop() {
        mStopped = true;
    }

    /** Takes the news that a peer has a newer version. */
    public synchronized void hint() {
        if (mPlanned != null && mPlanned.cancel(false)) {
            plan(mSchedule.hint(mClock.nanos()));
        }
    }

    /**
     * Plans a read.
     *
     * @param read the read
     */
    private synchronized void plan(PlatformRead read) {
        if (!mStopped) {
            long delay = Math.max(0, read.atNanos() - mClock.nanos());
            mPlanned = mTimers.schedule(() -> read(read), delay, TimeUnit.NANOSECONDS);
        }
    }

    /**
     * Reads the value once.
     *
     * @param read the read
     */
    private void read(PlatformRead read) {
        synchronized (this) {
            mPlanned = null;
        }
        String known = "&newerThan=" + mKnownVersion.getAsLong();
        String wait = "&waitSeconds=" + read.waitSeconds();
        mClient.newRequest(URI.create(mAddress + known + wait))
                .timeout(read.waitSeconds() + SLACK_SECONDS, TimeUnit.SECONDS)
                .send(
                        new BufferingResponseListener(MAX_VALUE_BYTES) {
                            @Override
                            public void onComplete(Result result) {
                                completed(result, getContentAsString(StandardCharsets.UTF_8));
                            }
                        });
    }

    /**
     * Takes the end of a read and plans the next one.
     *
     * @param result the outcome
     * @param body the body
     */
    private void completed(Result result, String body) {
        int status = result.isFailed() ? 0 : result.getResponse().getStatus();
        boolean answered = status == HttpStatus.OK_200 || status == HttpStatus.NOT_MODIFIED_304;
        if (status == HttpStatus.OK_200) {
            mListener.changed(body);
        }
        synchronized (this) {
            note(answered, status);
            ReadOutcome outcome = answered ? ReadOutcome.ANSWERED : ReadOutcome.FAILED;
            plan(mSchedule.finished(outcome, mWatcher.getAsBoolean(), mClock.nanos()));
        }
    }

    /**
     * Logs the first failure in a row and the end of the row.
     *
     * @param answered whether the platform answered
     * @param status the HTTP status; 0 if there was no answer
     */
    private void note(boolean answered, int status) {
        if (mFailing == answered && !mStopped) {
            LOG.warn(
                    "platform: {}, path={} status={}",
                    answered ? "answers again" : "read failed",
                    mAddress.getPath(),
                    status);
        }
        mFailing = !answered;
    }
}
