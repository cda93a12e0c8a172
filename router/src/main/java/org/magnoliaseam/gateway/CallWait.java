package org.magnoliaseam.gateway;

import java.util.Optional;
import org.magnoliaseam.error.ErrorKind;
import org.magnoliaseam.placement.EngineBacklogLimit;
import org.magnoliaseam.placement.RefusalRule;
import org.magnoliaseam.placement.WaitKey;
import org.magnoliaseam.suspect.CrashRecords;

/**
 * Tracks whether a request waits for a backend server, and decides when it is refused. Guarded by
 * the lock of the request.
 */
final class CallWait {

    /**
     * The longest wait while no backend server is in service, as a fraction of the target; nothing
     * tells then when the wait will end.
     */
    private static final double MAX_UNSERVED_WAIT_SHARE = 0.5;

    /**
     * The longest wait for the cheapest engine while others have room, as a fraction of the target.
     */
    private static final double PATIENCE_SHARE = 0.5;

    /**
     * The time after which a request that waits for one engine chooses again although that engine
     * is still full, in nanoseconds; meanwhile another one may have become cheaper.
     */
    private static final long CHOOSE_AGAIN_NANOS = 100_000_000L;

    /**
     * The fraction of the forecast that counts against a request that waits already. The forecast
     * takes the recent arrivals as lasting, which a short burst is not, so the whole of it would
     * refuse requests in vain.
     */
    private static final double WAITING_FORECAST_SHARE = 0.25;

    /** The number of nanoseconds in a millisecond. */
    private static final double NANOS_PER_MILLI = 1e6;

    /** The request. */
    private final GatewayRequest mRequest;

    /** The components that the request uses. */
    private final GatewayParts mParts;

    /** Receives a step when the request begins to wait. */
    private final RequestRecord mRecord;

    /** Whether the request waits. */
    private boolean mWaiting;

    /** The local monotonic time since which the request waits for a backend server. */
    private long mSinceNanos;

    /** The local monotonic time at which the caller gives up without a further event. */
    private long mDeadlineNanos;

    /** Whether the caller has a part of the answer, which an early end would break off. */
    private boolean mBegun;

    /** The local monotonic time before which no backend server takes the request. */
    private long mNotBeforeNanos;

    /** Whether the request waits for one engine while others have room. */
    private boolean mSelective;

    /** The error kind of the latest wait, used if the request is refused. */
    private ErrorKind mKind = ErrorKind.OVERLOADED;

    /** The backend server that a selective wait is for. */
    private Optional<WantedServer> mWanted = Optional.empty();

    /** The local monotonic time of the last choice. */
    private long mChosenNanos;

    /** Whether the request waits since it must not run beside another guarded one. */
    private boolean mGuarded;

    /** The predicted time from the start to the first event or the answer, in milliseconds. */
    private double mServiceMillis;

    /**
     * Creates the state of a request that does not wait.
     *
     * @param request the request
     * @param parts the components that the request uses
     * @param record receives a step when the request begins to wait
     */
    CallWait(GatewayRequest request, GatewayParts parts, RequestRecord record) {
        mRecord = record;
        mRequest = request;
        mParts = parts;
        mSinceNanos = request.arrivedNanos();
        mDeadlineNanos = request.firstEventDeadlineNanos();
        mNotBeforeNanos = mSinceNanos;
    }

    /**
     * Restarts the time of the wait after a failed attempt.
     *
     * @param begun whether the caller has a part of the answer, so that its patience starts anew
     */
    void restart(boolean begun) {
        mSinceNanos = mParts.clock().nanos();
        mBegun = begun;
        if (begun) {
            mDeadlineNanos = mRequest.eventDeadlineNanos(mSinceNanos);
        }
    }

    /**
     * Tells whether the request may wait for its cheapest engine while others have room.
     *
     * @return false once it has waited long enough
     */
    boolean isPatient() {
        return waitedMillis() < PATIENCE_SHARE * mRequest.route().targetMillis();
    }

    /**
     * Tells whether the request waits for one engine that is still full, so that a choice among all
     * of them would have no other result.
     *
     * @return false if a backend server should be chosen
     */
    boolean isSettled() {
        return mWaiting
                && mWanted.isPresent()
                && isPatient()
                && mParts.clock().nanos() - mChosenNanos < CHOOSE_AGAIN_NANOS
                && mWanted.get().isStillFull(mRequest);
    }

    /**
     * Begins or continues to wait.
     *
     * @param call the request
     * @param wait why it has to wait
     * @return true if it waits; false if it has to be refused now
     */
    boolean await(GatewayCall call, ServerChoice.Wait wait) {
        mKind = wait.kind();
        mSelective = wait.selective();
        mWanted = wait.wanted();
        mChosenNanos = mParts.clock().nanos();
        mGuarded = wait.guarded();
        mNotBeforeNanos = wait.notBeforeNanos();
        if (mWaiting) {
            return mSelective || !expired() && !isHopelessLast(call);
        }
        mServiceMillis = mParts.pool().fastestAnswerMillis(mRequest);
        double forecast = mParts.waiting().forecastMillis(mRequest);
        boolean excessive = mParts.waiting().isExcessive(mRequest);
        mParts.log().forecast(forecast, excessive);
        if (!mSelective && !mGuarded && isHopeless(forecast)) {
            mParts.log().refusedEarly();
            return false;
        }
        mWaiting = true;
        String detail =
                describe(wait)
                        + " forecast_ms="
                        + Math.round(forecast)
                        + (excessive ? " excessive=true" : "");
        mRecord.add(StepKind.WAITING, "", detail, mParts.clock().nanos());
        mParts.waiting().add(call, key(excessive), mSelective || mGuarded);
        return true;
    }

    /**
     * Returns what decides the place of the request among those that wait. An engine gets the
     * request while up to its limit waits there, which takes a part of the target.
     *
     * @param excessive whether it comes after the requests of the other accounts
     * @return the key
     */
    private WaitKey key(boolean excessive) {
        double target = mRequest.route().targetMillis();
        boolean engine = mRequest.service().engine().isPresent();
        double backlog = engine ? EngineBacklogLimit.limitMillis(target) : 0;
        long service = (long) (mServiceMillis * NANOS_PER_MILLI);
        long before = (long) ((target - backlog) * NANOS_PER_MILLI);
        return new WaitKey(
                mRequest.priority(),
                mRequest.accountName(),
                excessive,
                mRequest.route().name(),
                engine ? mRequest.prompt().tokens() : mRequest.body().length,
                service,
                mRequest.arrivedNanos() + before,
                mDeadlineNanos);
    }

    /**
     * Tells whether the request, which waits, comes last of its priority and no answer can be
     * expected before its caller gives up.
     *
     * @param call the request
     * @return true if it has to be refused
     */
    boolean isHopelessLast(GatewayCall call) {
        boolean hopeless =
                mWaiting
                        && !mSelective
                        && !mGuarded
                        && isHopeless(
                                WAITING_FORECAST_SHARE * mParts.waiting().remainingMillis(call));
        if (hopeless) {
            mParts.log().refusedEarly();
        }
        return hopeless;
    }

    /**
     * Describes why the request waits.
     *
     * @param wait the decision
     * @return the inputs of the decision
     */
    private String describe(ServerChoice.Wait wait) {
        return wait.kind().text()
                + (wait.selective() ? " for=cache" : "")
                + (wait.guarded() ? " guarded=true" : "")
                + (wait.pushedBack() > 0
                        ? " pushed_back="
                                + wait.pushedBack()
                                + " not_before_ms="
                                + Math.round(millisUntil(wait.notBeforeNanos()))
                        : "");
    }

    /** Ends the wait. */
    void end() {
        mWaiting = false;
    }

    /**
     * Tells whether the request waits.
     *
     * @return true if it waits
     */
    boolean waiting() {
        return mWaiting;
    }

    /**
     * Tells what keeps the request waiting after an attempt to start it.
     *
     * @param unrestricted whether the request may use every backend server
     * @return the result of the attempt
     */
    WaitingCalls.Attempted attempted(boolean unrestricted) {
        if (!mWaiting) {
            return WaitingCalls.Attempted.STARTED;
        }
        return unrestricted && !mSelective && !mGuarded && mKind == ErrorKind.OVERLOADED
                ? WaitingCalls.Attempted.NO_ROOM
                : WaitingCalls.Attempted.RESTRICTED;
    }

    /** Records that the request is refused since it crashes backend servers. */
    void refuseAsCrashing() {
        mKind = ErrorKind.CRASHING_REQUEST;
    }

    /**
     * Returns the error kind of the latest wait.
     *
     * @return the error kind
     */
    ErrorKind kind() {
        return mKind;
    }

    /**
     * Tells whether a waiting request can no longer be answered in time.
     *
     * @return true if it has to be refused
     */
    boolean expired() {
        if (mKind == ErrorKind.NO_BACKEND_SERVER && !mBegun) {
            return waitedMillis() >= MAX_UNSERVED_WAIT_SHARE * mRequest.route().targetMillis();
        }
        return isHopeless(0);
    }

    /**
     * Returns the time for which the request has waited.
     *
     * @return the time in milliseconds
     */
    private double waitedMillis() {
        return (mParts.clock().nanos() - mSinceNanos) / NANOS_PER_MILLI;
    }

    /**
     * Returns the delay after which the caller should come back if the request is refused.
     *
     * @return the delay in milliseconds; 0 if no time is left
     */
    long retryAfterMillis() {
        if (mKind == ErrorKind.CRASHING_REQUEST) {
            return CrashRecords.RETRY_AFTER_MILLIS;
        }
        double remaining = (mRequest.deadlineNanos() - mParts.clock().nanos()) / NANOS_PER_MILLI;
        double forecast = mParts.waiting().forecastMillis(mRequest);
        double notBefore = millisUntil(mParts.pool().noRoom(mRequest).notBeforeNanos());
        return mParts.waiting()
                .returnMillis(
                        mRequest,
                        RefusalRule.shortestDelayMillis(forecast, notBefore),
                        RefusalRule.longestDelayMillis(notBefore, remaining));
    }

    /**
     * Tells whether the request cannot be answered in time after a further wait. A stream that has
     * begun waits until its caller gives up: the caller gains nothing by an earlier end.
     *
     * @param forecastMillis the further wait in milliseconds
     * @return true if it cannot
     */
    private boolean isHopeless(double forecastMillis) {
        long now = mParts.clock().nanos();
        if (mBegun) {
            return now - mDeadlineNanos >= 0;
        }
        double wait = Math.max(forecastMillis, millisUntil(mNotBeforeNanos));
        return RefusalRule.isHopeless(now, wait, mServiceMillis, mDeadlineNanos);
    }

    /**
     * Returns the time until a moment.
     *
     * @param nanos the local monotonic time of the moment
     * @return the time in milliseconds; 0 if the moment has passed
     */
    private double millisUntil(long nanos) {
        return Math.max(0, (nanos - mParts.clock().nanos()) / NANOS_PER_MILLI);
    }
}
