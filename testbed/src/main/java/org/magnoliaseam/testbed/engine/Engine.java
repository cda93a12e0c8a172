package org.magnoliaseam.testbed.engine;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.UUID;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.magnoliaseam.testbed.http.HttpExchange;

/** Runs requests in a continuous batch. Every method runs on the event loop thread. */
final class Engine {

    /** The fixed properties. */
    private final EngineSettings mSettings;

    /** The thread that runs every method. */
    private final ScheduledExecutorService mLoop;

    /** The network side of the engine. */
    private final EngineProcess mProcess;

    /** The times that tokens take. */
    private final EngineTiming mTiming;

    /** The requests that are running. */
    private final Set<EngineStream> mRunning = new LinkedHashSet<>();

    /** The requests that wait for a slot, the next one first. */
    private final PriorityQueue<EngineStream> mQueue = new PriorityQueue<>();

    /** The accepted requests. */
    private final EngineStarts mStarts = new EngineStarts();

    /** The counters. */
    private final EngineCounter mCounter = new EngineCounter();

    /** The past loads. */
    private final LoadHistory mLoads = new LoadHistory();

    /** The identifier of this run of the engine. */
    private String mStartId;

    /** The number of requests completed since the engine turned cold. */
    private int mCompletedSinceStart;

    /** Whether the engine takes no new requests. */
    private boolean mLeaving;

    /** Whether the engine is off the network. */
    private boolean mDown;

    /** The lag of load reports in milliseconds. */
    private long mReportLagMillis;

    /** The number of next answers that carry the identifier of another request. */
    private int mCrossNext;

    /** The number of accepted requests, for the order of arrival. */
    private long mSequence;

    /**
     * Creates a cold engine.
     *
     * @param settings the fixed properties
     * @param loop the thread that runs every method
     * @param process the network side of the engine
     * @param seed the seed of the variation of times
     * @param reportLagMillis the lag of load reports in milliseconds
     */
    Engine(
            EngineSettings settings,
            ScheduledExecutorService loop,
            EngineProcess process,
            long seed,
            long reportLagMillis) {
        mSettings = settings;
        mLoop = loop;
        mProcess = process;
        mTiming = new EngineTiming(settings, seed);
        mReportLagMillis = reportLagMillis;
        turnCold();
    }

    /**
     * Accepts or refuses a request.
     *
     * @param request the request
     * @param exchange the exchange that the answer goes to
     */
    void accept(EngineRequest request, HttpExchange exchange) {
        if (mDown) {
            exchange.reset();
            return;
        }
        exchange.with("X-Request-Id", request.id()).with("X-Start-Id", mStartId);
        if (mLeaving || mQueue.size() >= mSettings.queueLimit()) {
            exchange.with("X-Started", "no").empty(503);
            return;
        }
        mStarts.record(
                new EngineStarts.Start(
                        request.id(),
                        System.currentTimeMillis(),
                        request.offset(),
                        request.priority()));
        boolean crossed = mCrossNext > 0;
        mCrossNext -= crossed ? 1 : 0;
        mQueue.add(new EngineStream(crossed ? request.crossed() : request, exchange, mSequence++));
        fillSlots();
    }

    /**
     * Cancels a request.
     *
     * @param id the request
     */
    void cancel(String id) {
        List<EngineStream> streams = new ArrayList<>(mRunning);
        streams.addAll(mQueue);
        for (EngineStream stream : streams) {
            if (stream.request().id().equals(id)) {
                stream.cutOff();
                abandon(stream);
            }
        }
    }

    /**
     * Changes the engine.
     *
     * @param control the change
     */
    void control(EngineControl control) {
        if (control.leaving() != null) {
            mLeaving = control.leaving();
        }
        if (control.slowFactor() != null) {
            mTiming.slowDown(control.slowFactor());
        }
        if (control.reportLagMillis() != null) {
            mReportLagMillis = control.reportLagMillis();
        }
        if (control.crossNext() != null) {
            mCrossNext = control.crossNext();
        }
        if (Boolean.TRUE.equals(control.cold())) {
            if (!Boolean.TRUE.equals(control.keepConnections())) {
                resetStreams();
            }
            turnCold();
        }
        observe();
    }

    /**
     * Returns the load as reported with the configured lag.
     *
     * @return the load
     */
    EngineLoad reportedLoad() {
        return mLoads.at(System.currentTimeMillis() - mReportLagMillis);
    }

    /**
     * Returns the counts.
     *
     * @return the counts so far
     */
    EngineCounts counts() {
        observe();
        return mCounter.counts(mStarts.count(), mRunning.size());
    }

    /**
     * Returns the accepted requests from a time on.
     *
     * @param sinceMillis the time in milliseconds since the epoch
     * @return the starts in order
     */
    List<EngineStarts.Start> startsSince(long sinceMillis) {
        return mStarts.since(sinceMillis);
    }

    /** Gives free slots to waiting requests. */
    private void fillSlots() {
        while (mRunning.size() < mSettings.slots() && !mQueue.isEmpty()) {
            EngineStream stream = mQueue.remove();
            mRunning.add(stream);
            observe();
            if (cold()) {
                mCounter.startedWhileCold(mRunning.size());
                if (mRunning.size() > mSettings.coldLimit()) {
                    fallOver();
                    return;
                }
            }
            double millis = mTiming.firstTokenMillis(stream.request(), mRunning.size(), cold());
            schedule(stream, millis);
        }
        observe();
    }

    /**
     * Schedules the next step of a stream.
     *
     * @param stream the stream
     * @param millis the delay in milliseconds
     */
    private void schedule(EngineStream stream, double millis) {
        long micros = Math.round(millis * TimeUnit.MILLISECONDS.toMicros(1));
        mLoop.schedule(() -> step(stream), micros, TimeUnit.MICROSECONDS);
    }

    /**
     * Writes the next token of a stream or its end.
     *
     * @param stream the stream
     */
    private void step(EngineStream stream) {
        if (stream.ended()) {
            return;
        }
        if (stream.exhausted()) {
            stream.writeEnd(
                    mSettings.model(),
                    failure -> mLoop.execute(() -> onEndWritten(stream, failure)));
            return;
        }
        mCounter.generated();
        stream.writeToken(
                mSettings.model(), failure -> mLoop.execute(() -> onTokenWritten(stream, failure)));
    }

    /**
     * Continues or ends a stream after a token was written.
     *
     * @param stream the stream
     * @param failure the failure of the write, or null
     */
    private void onTokenWritten(EngineStream stream, Throwable failure) {
        stream.markWritten();
        if (failure == null) {
            mCounter.delivered();
        }
        if (stream.ended()) {
            stream.cutOff();
        } else if (failure != null) {
            stream.end();
            abandon(stream);
        } else if (stream.request().crashes()) {
            crash();
        } else if (stream.exhausted()) {
            step(stream);
        } else {
            schedule(stream, mTiming.tokenMillis(mRunning.size()));
        }
    }

    /**
     * Counts a finished answer.
     *
     * @param stream the stream
     * @param failure the failure of the last write, or null
     */
    private void onEndWritten(EngineStream stream, Throwable failure) {
        if (stream.ended()) {
            return;
        }
        stream.end();
        if (failure != null) {
            abandon(stream);
            return;
        }
        mRunning.remove(stream);
        mCompletedSinceStart++;
        mCounter.completed(stream.request().offset());
        fillSlots();
    }

    /**
     * Drops a stream whose answer is not finished.
     *
     * @param stream the stream
     */
    private void abandon(EngineStream stream) {
        mRunning.remove(stream);
        mQueue.remove(stream);
        mCounter.cancelled(stream.generated());
        fillSlots();
    }

    /** Loses all work because the cold engine exceeded its limit of running requests. */
    private void fallOver() {
        mCounter.fellOver();
        resetStreams();
        turnCold();
    }

    /** Loses all work because of a crashing request. */
    private void crash() {
        if (mSettings.crashExits()) {
            mProcess.halt();
        }
        mCounter.crashed();
        mDown = true;
        resetStreams();
        mProcess.leaveNetwork(mSettings.restartMillis(), () -> mLoop.execute(() -> mDown = false));
        turnCold();
    }

    /** Resets all connections and drops all streams. */
    private void resetStreams() {
        List<EngineStream> streams = new ArrayList<>(mRunning);
        streams.addAll(mQueue);
        mRunning.clear();
        mQueue.clear();
        for (EngineStream stream : streams) {
            mCounter.wasted(stream.generated());
            stream.reset();
        }
        mProcess.resetAll();
    }

    /** Begins a new run of the engine, which is cold. */
    private void turnCold() {
        mStartId = UUID.randomUUID().toString();
        mCompletedSinceStart = 0;
        mTiming.clearPrefixes();
        mLoads.clear();
        observe();
    }

    /**
     * Tells whether the engine is cold.
     *
     * @return whether it has completed too few requests
     */
    private boolean cold() {
        return mCompletedSinceStart < mSettings.warmAfter();
    }

    /** Records the load after a change. */
    private void observe() {
        long nowMillis = System.currentTimeMillis();
        mCounter.observe(cold() && mRunning.size() > mSettings.coldLimit(), nowMillis);
        mLoads.record(
                new EngineLoad(mStartId, mRunning.size(), mQueue.size(), mLeaving), nowMillis);
    }
}
