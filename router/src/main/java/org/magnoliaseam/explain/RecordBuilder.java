package org.magnoliaseam.explain;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.magnoliaseam.exchange.AuthenticatedRequest;
import org.magnoliaseam.model.VmId;
import org.magnoliaseam.settings.LatencyTargets;
import org.magnoliaseam.settings.VersionedConfiguration;
import org.magnoliaseam.time.MonotonicClock;

/** Collects the events of one request until it ends. Thread-safe. */
public final class RecordBuilder {

    /** The maximum number of events kept; later ones are dropped. */
    private static final int MAX_EVENTS = 64;

    /** The request that the record describes. */
    private final AuthenticatedRequest mRequest;

    /** The entry VM. */
    private final VmId mEntryVm;

    /** The configuration in force at arrival. */
    private final VersionedConfiguration mConfiguration;

    /** The wall-clock time of arrival in milliseconds since 1970. */
    private final long mArrivedEpochMillis;

    /** The clock. */
    private final MonotonicClock mClock;

    /** The events so far. */
    private final List<RecordEvent> mEvents = new ArrayList<>();

    /**
     * The local monotonic time at which the request last entered the queue; 0 if it is not queued.
     */
    private long mQueuedNanos;

    /** The time in the queue so far, in nanoseconds. */
    private long mQueueNanos;

    /** The number of attempts sent so far. */
    private int mAttempts;

    /** The last backend server that was chosen; empty if none. */
    private String mBackendServer = "";

    /** The local monotonic time of the first token; 0 if none. */
    private long mFirstTokenNanos;

    /** The local monotonic time of the last token; 0 if none. */
    private long mLastTokenNanos;

    /** The number of tokens relayed. */
    private int mTokens;

    /**
     * Creates a builder.
     *
     * @param request the request
     * @param entryVm the entry VM
     * @param configuration the configuration in force at arrival
     * @param epochMillis the wall-clock time of arrival in milliseconds since 1970
     * @param clock the clock
     */
    public RecordBuilder(
            AuthenticatedRequest request,
            VmId entryVm,
            VersionedConfiguration configuration,
            long epochMillis,
            MonotonicClock clock) {
        mRequest = request;
        mEntryVm = entryVm;
        mConfiguration = configuration;
        mArrivedEpochMillis = epochMillis;
        mClock = clock;
    }

    /**
     * Adds an event.
     *
     * @param kind what happened
     * @param subject the backend server, peer or error kind concerned; empty if none
     * @param detail one sentence without keys, prompts or answers
     */
    public synchronized void add(RecordEventKind kind, String subject, String detail) {
        long now = mClock.nanos();
        updateSummary(kind, subject, now);
        if (mEvents.size() < MAX_EVENTS) {
            mEvents.add(new RecordEvent(sinceArrivalMillis(now), kind, subject, detail));
        }
    }

    /** Counts a relayed token. */
    public synchronized void token() {
        long now = mClock.nanos();
        if (mFirstTokenNanos == 0) {
            mFirstTokenNanos = now;
        }
        mLastTokenNanos = now;
        mTokens++;
    }

    /**
     * Completes the record.
     *
     * @param outcome "completed", "caller_gone", or the error kind
     * @param executed whether the request was run: yes, no or unknown
     * @param whole whether the caller received the complete answer
     * @return the record
     */
    public synchronized DecisionRecord build(String outcome, String executed, boolean whole) {
        long now = mClock.nanos();
        long firstToken = mFirstTokenNanos == 0 ? -1 : sinceArrivalMillis(mFirstTokenNanos);
        double between =
                mTokens < 2 ? 0 : (mLastTokenNanos - mFirstTokenNanos) / 1e6 / (mTokens - 1);
        long wholeMillis = sinceArrivalMillis(now);
        RecordSummary summary =
                new RecordSummary(
                        outcome,
                        executed,
                        mBackendServer,
                        mAttempts,
                        TimeUnit.NANOSECONDS.toMillis(mQueueNanos),
                        firstToken,
                        wholeMillis,
                        between,
                        mTokens,
                        whole && onTime(firstToken, between, wholeMillis));
        return new DecisionRecord(
                mRequest.id(),
                mEntryVm,
                mRequest.account(),
                mRequest.requestClass().id(),
                mRequest.requestClass().tier(),
                mConfiguration.version(),
                mConfiguration.configuration().digest(),
                mArrivedEpochMillis,
                List.copyOf(mEvents),
                summary);
    }

    /**
     * Returns the tokens relayed so far.
     *
     * @return the number of tokens
     */
    public synchronized int tokens() {
        return mTokens;
    }

    /**
     * Updates the times, counts and names that the summary needs.
     *
     * @param kind what happened
     * @param subject the backend server, peer or error kind concerned
     * @param now the local monotonic time
     */
    private void updateSummary(RecordEventKind kind, String subject, long now) {
        if (kind == RecordEventKind.QUEUED) {
            mQueuedNanos = now;
        } else if (mQueuedNanos != 0) {
            mQueueNanos += now - mQueuedNanos;
            mQueuedNanos = 0;
        }
        if (kind == RecordEventKind.STARTED) {
            mBackendServer = subject;
        }
        if (kind == RecordEventKind.SENDING) {
            mAttempts++;
        }
    }

    /**
     * Tells whether the times meet the targets of the class.
     *
     * @param firstTokenMillis the time to the first token in milliseconds; -1 if none
     * @param betweenMillis the mean time between tokens in milliseconds
     * @param wholeMillis the time to the end in milliseconds
     * @return true if every target is met
     */
    private boolean onTime(long firstTokenMillis, double betweenMillis, long wholeMillis) {
        LatencyTargets targets = mRequest.requestClass().targets();
        boolean withoutTokens = mRequest.requestClass().service().isPresent();
        boolean first = withoutTokens || firstTokenMillis <= targets.firstToken().toMillis();
        boolean between = withoutTokens || betweenMillis <= targets.betweenTokens().toMillis();
        return first && between && wholeMillis <= targets.wholeAnswer().toMillis();
    }

    /**
     * Converts a monotonic time to the time since arrival.
     *
     * @param nanos the local monotonic time
     * @return the time since arrival in milliseconds
     */
    private long sinceArrivalMillis(long nanos) {
        return TimeUnit.NANOSECONDS.toMillis(nanos - mRequest.arrivedNanos());
    }
}
