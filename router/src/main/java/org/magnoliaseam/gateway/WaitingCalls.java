package org.magnoliaseam.gateway;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import org.magnoliaseam.failure.FailedStep;
import org.magnoliaseam.failure.FailureLog;
import org.magnoliaseam.model.ServiceName;
import org.magnoliaseam.placement.AccountRates;
import org.magnoliaseam.placement.DrainForecast;
import org.magnoliaseam.placement.ReturnTimes;
import org.magnoliaseam.placement.WaitKey;
import org.magnoliaseam.placement.WaitQueue;
import org.magnoliaseam.placement.WaitRank;
import org.magnoliaseam.time.MonotonicClock;

/**
 * Holds the requests that wait for a backend server and starts them in order as soon as one has
 * room. Thread-safe. Its lock is never held while a request is called.
 */
final class WaitingCalls {

    /**
     * The requests that may be passed over because the restriction that keeps them waiting is their
     * own, before the rest has to wait too.
     */
    private static final int MAX_PASSED_OVER = 16;

    /** A priority below all others. */
    private static final int NOT_BLOCKED = Integer.MAX_VALUE;

    /** The waiting requests of each service. */
    private final Map<ServiceName, Line> mLines = new HashMap<>();

    /** The usual and the recent rates of the client accounts. */
    private final AccountRates mRates = new AccountRates();

    /** Logs which accounts stand out. */
    private final AccountNotices mNotices = new AccountNotices();

    /** Logs unexpected failures. */
    private final FailureLog mFailures;

    /** The clock. */
    private final MonotonicClock mClock;

    /** The calls of {@link #drain} that have not been handled yet. */
    private final AtomicInteger mDrains = new AtomicInteger();

    /** The choices of a backend server so far. */
    private final AtomicLong mChoices = new AtomicLong();

    /** Lists the results of trying to start a waiting request. */
    enum Attempted {
        /** The request no longer waits. */
        STARTED,
        /** No backend server has room for a request like it. */
        NO_ROOM,
        /** Backend servers may have room, but not for this request. */
        RESTRICTED
    }

    /** Holds the waiting requests of one service. */
    private static final class Line {

        /** The requests in order. */
        private final WaitQueue<GatewayCall> mQueue = new WaitQueue<>();

        /** Forecasts their wait. */
        private final DrainForecast mForecast = new DrainForecast();

        /** Tells refused callers when to come back. */
        private final ReturnTimes mReturns = new ReturnTimes();

        /** The highest priority that found no room; new requests of it and below wait as well. */
        private int mBlockedPriority = NOT_BLOCKED;
    }

    /**
     * Creates an empty set of queues.
     *
     * @param failures logs unexpected failures
     * @param clock the clock
     */
    WaitingCalls(FailureLog failures, MonotonicClock clock) {
        mFailures = failures;
        mClock = clock;
    }

    /** Counts a choice of a backend server, with or without a result. */
    void chose() {
        mChoices.incrementAndGet();
    }

    /**
     * Returns the number of choices of a backend server.
     *
     * @return the choices so far, with those that found no room
     */
    long choices() {
        return mChoices.get();
    }

    /**
     * Counts a request that arrived.
     *
     * @param request the request
     */
    synchronized void arrived(GatewayRequest request) {
        long now = mClock.nanos();
        mRates.arrived(request.accountName(), now);
        mNotices.observed(request.accountName(), mRates.standsOut(request.accountName(), now));
        line(request).mForecast.arrived(request.priority(), newRank(request), now);
    }

    /**
     * Returns the rank of a new request.
     *
     * @param request the request
     * @return the rank within its priority
     */
    private WaitRank newRank(GatewayRequest request) {
        return isExcessive(request) ? WaitRank.EXCESSIVE : WaitRank.TIMELY;
    }

    /**
     * Tells whether the account of a request sends far more than it usually does, or repeats the
     * request before the time that a refusal stated.
     *
     * @param request the request
     * @return true if it comes after the requests of the other accounts
     */
    synchronized boolean isExcessive(GatewayRequest request) {
        long now = mClock.nanos();
        ReturnTimes returns = line(request).mReturns;
        return mRates.standsOut(request.accountName(), now)
                || returns.isAwaiting(now) && returns.isEarly(mark(request), now);
    }

    /**
     * Returns a mark by which a repetition of a request is recognized.
     *
     * @param request the request
     * @return the mark; other requests rarely have the same one
     */
    private static int mark(GatewayRequest request) {
        return Objects.hash(
                request.accountName(),
                request.route().name(),
                request.target(),
                request.prompt().parts(),
                Arrays.hashCode(request.body()));
    }

    /**
     * Tells whether requests of the same or a higher priority wait because nothing has room.
     *
     * @param request the request
     * @return true if it may not start before them
     */
    synchronized boolean mustWait(GatewayRequest request) {
        Line line = line(request);
        return line.mBlockedPriority <= request.priority()
                && line.mQueue.isBefore(request.priority());
    }

    /**
     * Forecasts the wait of a new request.
     *
     * @param request the request
     * @return the wait in milliseconds; 0 if it is not known
     */
    synchronized double forecastMillis(GatewayRequest request) {
        Line line = line(request);
        WaitRank rank = newRank(request);
        int ahead =
                line.mQueue.ahead(
                        request.priority(), request.accountName(), rank == WaitRank.EXCESSIVE);
        return line.mForecast.waitMillis(request.priority(), rank, ahead, mClock.nanos());
    }

    /**
     * Forecasts the further wait of a waiting request after which none of its priority comes.
     * Refusing that one first keeps the order and costs no look at the others.
     *
     * @param call the request
     * @return the wait in milliseconds; 0 if it is not known or others of its priority come later
     */
    synchronized double remainingMillis(GatewayCall call) {
        GatewayRequest request = call.request();
        Line line = line(request);
        long now = mClock.nanos();
        int ahead = line.mForecast.isReliable(now) ? line.mQueue.aheadOfLast(call, now) : 0;
        if (ahead <= 0) {
            return 0;
        }
        WaitRank rank = line.mQueue.rank(call, now).orElseThrow();
        return line.mForecast.waitMillis(request.priority(), rank, ahead, now);
    }

    /**
     * Returns the delay after which the caller of a refused request should come back.
     *
     * @param request the request
     * @param shortestMillis the shortest delay, in milliseconds
     * @param longestMillis the longest delay, in milliseconds
     * @return the delay in milliseconds
     */
    synchronized long returnMillis(
            GatewayRequest request, double shortestMillis, double longestMillis) {
        long now = mClock.nanos();
        Line line = line(request);
        return line.mReturns.delayMillis(
                new ReturnTimes.Refused(request.accountName(), request.priority(), mark(request)),
                shortestMillis,
                longestMillis,
                line.mForecast.startsPerSecond(now),
                now);
    }

    /**
     * Returns the urgency of a request at an engine that other entry VMs use as well.
     *
     * @param call the request, which may wait
     * @return the place of its priority and rank; a lower one starts earlier
     */
    synchronized int place(GatewayCall call) {
        GatewayRequest request = call.request();
        Optional<WaitRank> waiting = line(request).mQueue.rank(call, mClock.nanos());
        return waiting.orElseGet(() -> newRank(request)).place(request.priority());
    }

    /**
     * Adds a request.
     *
     * @param call the request, which does not wait yet
     * @param key what decides its place
     * @param selective whether it waits for one engine while others have room
     */
    synchronized void add(GatewayCall call, WaitKey key, boolean selective) {
        GatewayRequest request = call.request();
        Line line = line(request);
        if (!selective) {
            line.mBlockedPriority = Math.min(line.mBlockedPriority, request.priority());
        }
        line.mQueue.add(call, key, mClock.nanos());
        line.mForecast.waiting(line.mQueue.size() > 0, mClock.nanos());
    }

    /**
     * Records that a request was started.
     *
     * @param call the request, which may have waited
     */
    synchronized void started(GatewayCall call) {
        Line line = line(call.request());
        long now = mClock.nanos();
        line.mForecast.started(now);
        line.mQueue.started(call);
        line.mForecast.waiting(line.mQueue.size() > 0, mClock.nanos());
    }

    /**
     * Removes a request that no longer waits.
     *
     * @param call the request
     */
    synchronized void remove(GatewayCall call) {
        Line line = line(call.request());
        line.mQueue.remove(call);
        line.mForecast.waiting(line.mQueue.size() > 0, mClock.nanos());
    }

    /**
     * Starts as many waiting requests as backend servers have room for. If several threads call
     * this at once, one of them does the work of all.
     */
    void drain() {
        if (mDrains.getAndIncrement() > 0) {
            return;
        }
        int handled = 1;
        try {
            do {
                for (ServiceName service : services()) {
                    mFailures.guard(FailedStep.DRAIN, "", () -> drain(service));
                }
                handled = mDrains.addAndGet(-handled);
            } while (handled > 0);
        } finally {
            if (handled > 0) {
                mDrains.set(0);
            }
        }
    }

    /**
     * Starts waiting requests of one service in order. A request that finds no room stops all of
     * the same and lower priorities, so that they do not take the room that it waits for.
     *
     * @param service the service
     */
    private void drain(ServiceName service) {
        int passedOver = 0;
        int blockedPriority = NOT_BLOCKED;
        WaitQueue.Cursor<GatewayCall> cursor = cursor(service);
        while (passedOver <= MAX_PASSED_OVER) {
            GatewayCall call = next(cursor);
            if (call == null || call.request().priority() >= blockedPriority) {
                break;
            }
            Attempted attempted = tryStart(call);
            if (attempted == Attempted.STARTED) {
                continue;
            }
            passedOver++;
            if (attempted == Attempted.NO_ROOM) {
                blockedPriority = call.request().priority();
            }
        }
        blocked(service, blockedPriority);
    }

    /**
     * Tries to start a request; one that fails no longer waits, so that others do not wait for it.
     *
     * @param call the request
     * @return the result
     */
    private Attempted tryStart(GatewayCall call) {
        try {
            return call.tryStart();
        } catch (RuntimeException | Error e) {
            mFailures.failed(FailedStep.DRAIN, call.request().id().value(), e);
            return Attempted.STARTED;
        }
    }

    /**
     * Records the highest priority that found no room.
     *
     * @param service the service
     * @param priority the priority
     */
    private synchronized void blocked(ServiceName service, int priority) {
        mLines.get(service).mBlockedPriority = priority;
    }

    /**
     * Returns an iteration over the waiting requests of a service.
     *
     * @param service the service
     * @return the iteration
     */
    private synchronized WaitQueue.Cursor<GatewayCall> cursor(ServiceName service) {
        return mLines.get(service).mQueue.cursor();
    }

    /**
     * Returns the next waiting request.
     *
     * @param cursor the iteration
     * @return the request; null if there is none
     */
    private synchronized GatewayCall next(WaitQueue.Cursor<GatewayCall> cursor) {
        return cursor.next(mClock.nanos());
    }

    /**
     * Returns the services that have waiting requests.
     *
     * @return the services
     */
    private synchronized List<ServiceName> services() {
        List<ServiceName> services = new ArrayList<>();
        for (Map.Entry<ServiceName, Line> entry : mLines.entrySet()) {
            if (entry.getValue().mQueue.size() > 0) {
                services.add(entry.getKey());
            }
        }
        return services;
    }

    /**
     * Returns the queue of the service of a request.
     *
     * @param request the request
     * @return the queue
     */
    private Line line(GatewayRequest request) {
        return mLines.computeIfAbsent(request.service().name(), name -> new Line());
    }
}
