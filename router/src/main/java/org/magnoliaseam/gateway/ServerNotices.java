package org.magnoliaseam.gateway;

import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.LongAdder;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.magnoliaseam.leaving.LeavingServers;
import org.magnoliaseam.leaving.LeavingSource;
import org.magnoliaseam.leaving.ServerIncarnation;
import org.magnoliaseam.pushback.NoticeFault;

/** Logs and counts what backend servers state about themselves. Thread-safe. */
public final class ServerNotices {

    /** Logs changes of the state of backend servers. */
    private static final Logger LOG = LogManager.getLogger("board");

    /** The number of backend servers that were found to be leaving. */
    private final LongAdder mLeavingBegun = new LongAdder();

    /** The number of leaving backend servers that started again under the same id. */
    private final LongAdder mLeavingEnded = new LongAdder();

    /** The number of times without requests that have begun. */
    private final LongAdder mPushbackBegun = new LongAdder();

    /** The number of times without requests that have ended. */
    private final LongAdder mPushbackEnded = new LongAdder();

    /** The number of refusals because a crowded backend server was full. */
    private final LongAdder mFull = new LongAdder();

    /** The number of attempts that ask an engine to fetch cached prompt parts. */
    private final LongAdder mFetches = new LongAdder();

    /** Logs and counts what is assumed about their speed. */
    private final SpeedLog mSpeeds = new SpeedLog();

    /** The number of header fields that could not be used. */
    private final LongAdder mFaulty = new LongAdder();

    /**
     * Records that a backend server is leaving.
     *
     * @param server the start of the backend server
     * @param source the source
     */
    void leavingBegan(ServerIncarnation server, LeavingSource source) {
        mLeavingBegun.increment();
        LOG.info(
                "board: backend server is leaving, id={} start_mark={} source={}",
                server.id(),
                server.startMark(),
                source.text());
    }

    /**
     * Records that a leaving backend server has started again.
     *
     * @param known what was known of the earlier start
     * @param now the later start
     * @param nowNanos the local monotonic time
     */
    void leavingEnded(LeavingServers.Leaving known, ServerIncarnation now, long nowNanos) {
        mLeavingEnded.increment();
        LOG.info(
                "board: leaving backend server has started again, id={} start_mark={} source={}"
                        + " age_ms={}",
                now.id(),
                now.startMark(),
                known.source().text(),
                TimeUnit.NANOSECONDS.toMillis(nowNanos - known.sinceNanos()));
    }

    /**
     * Records that a backend server wants no requests for a time.
     *
     * @param state the backend server
     * @param millis the time in milliseconds
     * @param nowNanos the local monotonic time
     */
    void pushbackBegan(BackendServerState state, long millis, long nowNanos) {
        mPushbackBegun.increment();
        if (state.pushback().takeReport(nowNanos)) {
            LOG.info(
                    "board: backend server wants no requests, id={} millis={} running={}"
                            + " source=answer",
                    state.id(),
                    millis,
                    state.running());
        }
    }

    /**
     * Records that a time without requests has ended.
     *
     * @param state the backend server
     * @param nowNanos the local monotonic time
     */
    void pushbackEnded(BackendServerState state, long nowNanos) {
        mPushbackEnded.increment();
        if (state.pushback().takeReport(nowNanos)) {
            LOG.info(
                    "board: backend server takes requests again, id={} age_ms={}",
                    state.id(),
                    state.pushback().lastedMillis());
        }
    }

    /**
     * Records that a backend server wants no requests nearly all the time.
     *
     * @param state the backend server
     */
    void pushbackNearlyPermanent(BackendServerState state) {
        LOG.warn("board: backend server wants no requests nearly always, id={}", state.id());
    }

    /**
     * Records that a backend server refused a request because it is full.
     *
     * @param state the backend server
     * @param nowNanos the local monotonic time
     */
    void full(BackendServerState state, long nowNanos) {
        mFull.increment();
        if (state.stated().takeReport(nowNanos)) {
            LOG.info(
                    "board: backend server is full, id={} running={} backoff_ms={}",
                    state.id(),
                    state.running(),
                    TimeUnit.NANOSECONDS.toMillis(state.stated().full().lengthNanos()));
        }
    }

    /**
     * Records a header field that cannot be used. Each backend server gets one log line a minute at
     * most.
     *
     * @param state the backend server
     * @param fault what is wrong
     * @param nowNanos the local monotonic time
     */
    void faulty(BackendServerState state, NoticeFault fault, long nowNanos) {
        mFaulty.increment();
        if (state.logsFault(nowNanos)) {
            LOG.warn(
                    "board: notice of a backend server cannot be used, id={} field={} fault={}",
                    state.id(),
                    fault.field(),
                    fault.text());
        }
    }

    /**
     * Returns the counts of what is assumed about the speed of backend servers.
     *
     * @return the counts
     */
    public SpeedLog speeds() {
        return mSpeeds;
    }

    /**
     * Returns how many times without requests have begun.
     *
     * @return the number since the start of the process
     */
    public long pushbackBegun() {
        return mPushbackBegun.sum();
    }

    /**
     * Returns how many times without requests have ended.
     *
     * @return the number since the start of the process
     */
    public long pushbackEnded() {
        return mPushbackEnded.sum();
    }

    /**
     * Returns how many requests crowded backend servers refused because they were full.
     *
     * @return the number since the start of the process
     */
    public long full() {
        return mFull.sum();
    }

    /**
     * Counts an attempt that is sent.
     *
     * @param start the attempt
     */
    void sent(ServerChoice.Start start) {
        mFetches.add(start.cacheSource().isPresent() ? 1 : 0);
    }

    /**
     * Returns how many attempts asked an engine to fetch cached prompt parts.
     *
     * @return the number since the start of the process
     */
    public long fetches() {
        return mFetches.sum();
    }

    /**
     * Returns how many header fields could not be used.
     *
     * @return the number since the start of the process
     */
    public long faulty() {
        return mFaulty.sum();
    }

    /**
     * Returns how many backend servers were found to be leaving.
     *
     * @return the number since the start of the process
     */
    public long leavingBegun() {
        return mLeavingBegun.sum();
    }

    /**
     * Returns how many leaving backend servers started again under the same id.
     *
     * @return the number since the start of the process
     */
    public long leavingEnded() {
        return mLeavingEnded.sum();
    }
}
