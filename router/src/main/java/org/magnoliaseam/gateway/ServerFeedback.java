package org.magnoliaseam.gateway;

import org.magnoliaseam.backend.BackendFailure;
import org.magnoliaseam.leaving.LeavingSource;
import org.magnoliaseam.membership.StableHash;
import org.magnoliaseam.permit.SlotRule;
import org.magnoliaseam.pushback.NoticeFault;
import org.magnoliaseam.time.MonotonicClock;

/**
 * Records what one attempt shows about its backend server. Thread-safe; guarded by the lock of the
 * server pool.
 */
final class ServerFeedback {

    /** Selects the draws that spread the returns to a full backend server. */
    private static final int FULL_SPREAD_SEED = 13;

    /** The number of nanoseconds in a millisecond. */
    private static final double NANOS_PER_MILLI = 1e6;

    /** The server pool, whose lock guards the backend servers. */
    private final ServerPool mPool;

    /** The backend servers. */
    private final ServerRegistry mServers;

    /** Learns the demand of requests. */
    private final ServerSelector mSelector;

    /** The prompt parts to report to the other entry VMs. */
    private final RecentPromptParts mRecentParts;

    /** The selected backend server. */
    private final ServerChoice.Start mStart;

    /** The request. */
    private final GatewayRequest mRequest;

    /** Logs and counts what backend servers state. */
    private final ServerNotices mNotices;

    /** The local monotonic time at which the attempt was counted. */
    private final long mStartedNanos;

    /** The local monotonic time at which the attempt was sent. */
    private volatile long mSentNanos;

    /** Records whether the request crashes backend servers. */
    private final CrashFeedback mCrashes;

    /** Whether the attempt counts among the silent ones. */
    private volatile boolean mSilent;

    /** Whether the attempt has ended. */
    private boolean mEnded;

    /** Whether the prompt no longer counts as waiting to be processed. */
    private boolean mPromptProcessed;

    /** Whether the attempt no longer counts among the unanswered requests. */
    private boolean mAnswered;

    /** The clock. */
    private final MonotonicClock mClock;

    /**
     * Creates a recorder for an attempt that the server pool has counted.
     *
     * @param pool the server pool
     * @param servers its backend servers
     * @param selector learns the demand of requests
     * @param recentParts the prompt parts to report to the other entry VMs
     * @param start the selected backend server
     * @param request the request
     * @param clock the clock
     */
    ServerFeedback(
            ServerPool pool,
            ServerRegistry servers,
            ServerSelector selector,
            RecentPromptParts recentParts,
            ServerChoice.Start start,
            GatewayRequest request,
            MonotonicClock clock) {
        mPool = pool;
        mServers = servers;
        mSelector = selector;
        mRecentParts = recentParts;
        mStart = start;
        mRequest = request;
        mNotices = pool.notices();
        mClock = clock;
        mStartedNanos = clock.nanos();
        mCrashes = new CrashFeedback(pool.crashes(), start, request);
    }

    /**
     * Records that the home of the engine granted a permit.
     *
     * @param tokens the prompt tokens that wait there, with those of the permit
     */
    void permitGranted(long tokens) {
        synchronized (mPool) {
            server().backlog().granted(tokens, mClock.nanos());
        }
    }

    /**
     * Records that the home of the engine refused a permit.
     *
     * @param tokens the prompt tokens that wait there
     */
    void permitRefused(long tokens) {
        if (mStart.guarded()) {
            mPool.crashes().busy(server().id());
            return;
        }
        synchronized (mPool) {
            int slots = mStart.entry().slots();
            boolean scarce = SlotRule.isScarce(mPool.membership().vms(), slots);
            boolean occupied = scarce && tokens <= mStart.limits().shared();
            server().backlog().refused(tokens, occupied, mClock.nanos());
        }
    }

    /**
     * Records that the attempt has a connection.
     *
     * @param openedNanos the local monotonic time at which it was made
     */
    void connected(long openedNanos) {
        mCrashes.connected(openedNanos);
    }

    /** Records that the attempt is sent. */
    void sent() {
        mSentNanos = mClock.nanos();
        mCrashes.sent();
        synchronized (mPool) {
            server().sent(mRequest);
            mSelector.started(mRequest, mStart.uncachedTokens(), mClock.nanos());
            mNotices.sent(mStart);
            mPool.spillover().sent(mRequest, mStart, mClock.nanos());
            mRecentParts.sent(server().id(), mRequest.prompt());
            mNotices.speeds().sent(server(), mSentNanos);
        }
    }

    /**
     * Records that the prompt has been processed, or that the attempt ended or got stuck before;
     * only the first of these counts.
     *
     * @param millis the time to the first event in milliseconds; 0 if it does not measure the
     *     processing speed
     */
    void promptProcessed(double millis) {
        synchronized (mPool) {
            if (mPromptProcessed) {
                return;
            }
            mPromptProcessed = true;
            server().promptProcessed(mStart.uncachedTokens());
            if (millis > 0) {
                long now = mClock.nanos();
                server().times().promptMeasured(mStart.uncachedTokens(), millis, now);
                mNotices.speeds().measured(server(), now);
            }
        }
    }

    /**
     * Records the load that the backend server reports.
     *
     * @param load the load
     */
    void load(ReportedLoad load) {
        synchronized (mPool) {
            long now = mClock.nanos();
            heard(now);
            server().load(load, now);
            load.factor()
                    .ifPresent(
                            factor -> {
                                boolean first = server().times().reported(factor, now);
                                mNotices.speeds().reported(server(), first);
                            });
        }
    }

    /** Records that an answer says that the backend server is leaving. */
    void leaving() {
        synchronized (mPool) {
            mServers.leaving(mCrashes.server(), LeavingSource.ANSWER, mClock.nanos());
        }
    }

    /**
     * Records that the backend server wants no requests of this entry VM for a time.
     *
     * @param millis the time in milliseconds
     */
    void pushback(long millis) {
        synchronized (mPool) {
            mServers.pushedBack(server(), millis, mClock.nanos());
        }
    }

    /**
     * Records that the backend server refused the request because it is full.
     *
     * @return true if this is no failure, because the entry VMs outnumber the slots
     */
    boolean full() {
        synchronized (mPool) {
            long now = mClock.nanos();
            boolean crowded =
                    mSelector.isCrowded(mRequest, mServers.inService(mRequest.service().name()));
            if (crowded) {
                double draw =
                        StableHash.draw(mRequest.id().value() + server().id(), FULL_SPREAD_SEED);
                server().stated().full().refused(draw, now);
                mNotices.full(server(), now);
            }
            return crowded;
        }
    }

    /**
     * Records a header field that cannot be used.
     *
     * @param fault what is wrong
     */
    void faultyNotice(NoticeFault fault) {
        synchronized (mPool) {
            mNotices.faulty(server(), fault, mClock.nanos());
        }
    }

    /** Records that the backend server began to answer. */
    void answered() {
        mCrashes.begun(mSentNanos);
        synchronized (mPool) {
            leavePushback(true);
            server().stated().full().accepted();
        }
    }

    /**
     * Ends the count of the attempt among the unanswered requests after a pushback.
     *
     * @param answered whether the backend server began to answer
     */
    private void leavePushback(boolean answered) {
        if (!mAnswered) {
            mAnswered = true;
            server().pushback().ended(mStart.pushbacks(), answered);
        }
    }

    /** Records that the backend server continues its answer. */
    void progressed() {
        server().silence().answeredAttempt(mSentNanos);
        mCrashes.progressed(mSentNanos);
    }

    /**
     * Records that the attempt has been silent for too long.
     *
     * @param pauseNanos the time since its last sign, in nanoseconds
     */
    void silent(long pauseNanos) {
        synchronized (mPool) {
            long now = mClock.nanos();
            ServerSilence silence = server().silence();
            if (!mSilent && !mEnded) {
                mSilent = true;
                silence.count(1);
            }
            boolean counts = mRequest.route().idempotent() || !silence.isHeard(pauseNanos, now);
            if (silence.observed(pauseNanos, now) && counts) {
                server().failures().failed(false, now);
            }
        }
    }

    /**
     * Records that a part of the answer was received.
     *
     * @param nowNanos the local monotonic time
     */
    void heard(long nowNanos) {
        server().silence().heard(nowNanos);
        if (mSilent) {
            endSilence();
        }
    }

    /** Ends the silence of the attempt. */
    private void endSilence() {
        synchronized (mPool) {
            if (mSilent) {
                mSilent = false;
                server().silence().count(-1);
            }
        }
    }

    /** Records that the answer has gone on for some time. */
    void lasted() {
        mCrashes.lasted();
    }

    /** Records that the answer is complete: the request has not crashed the backend server. */
    void answerComplete() {
        mCrashes.answered();
    }

    /** Records that the backend server may have crashed before its answer was complete. */
    void lost() {
        mCrashes.lost(mSentNanos);
    }

    /** Counts the end of the attempt. */
    private void end() {
        mEnded = true;
        endSilence();
        mCrashes.endGuard();
        leavePushback(false);
        server().end();
    }

    /** Counts a successful attempt. */
    void succeeded() {
        synchronized (mPool) {
            end();
            server().failures().succeeded();
            if (mRequest.service().engine().isEmpty()) {
                long now = mClock.nanos();
                server().answerMeasured((now - mSentNanos) / NANOS_PER_MILLI, now);
                mNotices.speeds().measured(server(), now);
            }
        }
    }

    /** Counts an attempt whose end does not indicate success or failure of the backend server. */
    void ended() {
        synchronized (mPool) {
            end();
        }
    }

    /** Counts an attempt that was undone; if it was not sent, a cold start admits another one. */
    void undone() {
        synchronized (mPool) {
            end();
            if (mSentNanos == 0) {
                server().coldStart().notSent(mRequest.service(), mStartedNanos, mClock.nanos());
            }
        }
    }

    /**
     * Counts a failed attempt.
     *
     * @param failure the kind of failure
     */
    void failed(BackendFailure failure) {
        synchronized (mPool) {
            long now = mClock.nanos();
            end();
            if (failure == BackendFailure.HELD_BACK) {
                return;
            }
            if (failure == BackendFailure.REFUSED) {
                server().silence().heard(now);
            }
            server().failures().failed(failure == BackendFailure.NOT_SENT, now);
            if (failure == BackendFailure.NOT_SENT || failure.mayBeCrash()) {
                server().coldStart().lasts(mRequest.service().coldMillis(), now);
            }
        }
    }

    /**
     * Returns the backend server.
     *
     * @return the backend server
     */
    private BackendServerState server() {
        return mStart.server();
    }
}
