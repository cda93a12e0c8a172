package org.magnoliaseam.gateway;

import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.magnoliaseam.leaving.ServerIncarnation;
import org.magnoliaseam.membership.StableHash;
import org.magnoliaseam.model.BackendServerId;
import org.magnoliaseam.suspect.AnswerNotice;
import org.magnoliaseam.suspect.CrashCause;
import org.magnoliaseam.suspect.CrashNews;
import org.magnoliaseam.suspect.CrashNotice;
import org.magnoliaseam.suspect.CrashRecords;
import org.magnoliaseam.suspect.RequestMark;
import org.magnoliaseam.suspect.SuspectVerdict;
import org.magnoliaseam.time.MonotonicClock;

/**
 * Protects backend servers from requests that crash them: isolates requests that may, refuses those
 * that do, and exchanges what is known with the other entry VMs. Thread-safe.
 */
public final class CrashGuard {

    /** The largest number of prompt parts of a request that are considered, the last ones. */
    private static final int MAX_PARTS = 15;

    /**
     * The time for which a backend server gets no guarded request after another entry VM had one
     * there, in nanoseconds.
     */
    private static final long BUSY_NANOS = TimeUnit.MILLISECONDS.toNanos(50);

    /** Selects the hash of starts of backend servers. */
    private static final int SERVER_SEED = 5;

    /** The crashes and the answers since. */
    private final CrashRecords mRecords = new CrashRecords();

    /** What the other entry VMs are told. */
    private final CrashReports mReports;

    /** Logs and counts crashes and their causes. */
    private final CrashLog mLog = new CrashLog();

    /** The marks of the guarded attempts in progress, by backend server. */
    private final Map<BackendServerId, Set<RequestMark>> mRunning = new HashMap<>();

    /** The local monotonic time before which a backend server gets no guarded request. */
    private final Map<BackendServerId, Long> mNotBefore = new HashMap<>();

    /** How often the causes in force have changed. */
    private volatile int mChanges;

    /** Called when the other entry VMs should be told of a crash at once. */
    private volatile Runnable mOnCrash = () -> {};

    /** The clock. */
    private final MonotonicClock mClock;

    /**
     * Creates a guard that knows of no crash.
     *
     * @param clock the clock
     */
    CrashGuard(MonotonicClock clock) {
        mClock = clock;
        mReports = new CrashReports(mRecords, clock.nanos());
    }

    /**
     * Sets what is called when the other entry VMs should be told of a crash at once. It must not
     * block.
     *
     * @param onCrash sends the next digest early
     */
    public void observe(Runnable onCrash) {
        mOnCrash = onCrash;
    }

    /**
     * Returns how often the causes in force have changed, which tells cheaply whether a request has
     * to be checked again.
     *
     * @return the number of changes
     */
    int changes() {
        return mChanges;
    }

    /** Logs the causes in force after a change of the records. */
    private void update() {
        if (mLog.update(mRecords, mClock.nanos())) {
            mChanges++;
        }
    }

    /**
     * Returns the log.
     *
     * @return the counts of crashes and causes
     */
    public CrashLog log() {
        return mLog;
    }

    /**
     * Returns the marks of a request: those of its shared prompt parts and its own.
     *
     * @param request the request
     * @return the marks
     */
    private static Set<RequestMark> marks(GatewayRequest request) {
        List<PromptPart> parts = request.prompt().sharedParts();
        Set<RequestMark> marks = new HashSet<>();
        for (PromptPart part : parts.subList(Math.max(0, parts.size() - MAX_PARTS), parts.size())) {
            marks.add(RequestMark.ofPart(request.service().name().value(), part.id()));
        }
        String target = request.method() + " " + request.target();
        marks.add(RequestMark.ofRequest(request.accountName(), target, request.body()));
        return marks;
    }

    /**
     * Tells whether a request may crash a backend server and must not run beside another such one.
     *
     * @param request the request
     * @return true if it is guarded
     */
    synchronized boolean guards(GatewayRequest request) {
        return !mRecords.isEmpty()
                && mRecords.verdict(marks(request), mClock.nanos()) == SuspectVerdict.GUARDED;
    }

    /**
     * Tells whether a request is refused since it crashes backend servers. If so, the cause stays
     * in force.
     *
     * @param request the request
     * @return true if it must not be sent
     */
    synchronized boolean refuses(GatewayRequest request) {
        if (mRecords.isEmpty()) {
            return false;
        }
        long now = mClock.nanos();
        Optional<CrashCause> cause = mRecords.cause(marks(request), now);
        cause.ifPresent(
                found -> {
                    mRecords.used(found, now);
                    mLog.countRefusal();
                });
        return cause.isPresent();
    }

    /**
     * Selects the backend servers that may get a guarded request: those that run no other one, as
     * far as is known, and none while a request of this entry VM with a mark in common runs.
     *
     * @param request the request
     * @param candidates the backend servers with a free slot
     * @param now the local monotonic time
     * @return the backend servers with room, in random order
     */
    synchronized List<BackendServerState> isolated(
            GatewayRequest request, List<BackendServerState> candidates, long now) {
        Set<RequestMark> marks = marks(request);
        boolean runs =
                mRunning.values().stream().anyMatch(other -> !Collections.disjoint(other, marks));
        mNotBefore.values().removeIf(until -> now - until >= 0);
        return runs
                ? List.of()
                : candidates.stream()
                        .filter(state -> !mRunning.containsKey(state.id()))
                        .filter(state -> !mNotBefore.containsKey(state.id()))
                        .filter(state -> ServerRoom.hasRoom(request, state, now))
                        .sorted(Comparator.comparingLong(state -> state.draw(request.id(), now)))
                        .toList();
    }

    /**
     * Records that a backend server may not get a guarded request for a moment.
     *
     * @param server the backend server
     */
    synchronized void busy(BackendServerId server) {
        mNotBefore.put(server, mClock.nanos() + BUSY_NANOS);
    }

    /**
     * Records the start of a guarded attempt.
     *
     * @param server the backend server
     * @param request the request
     */
    synchronized void started(BackendServerId server, GatewayRequest request) {
        Set<RequestMark> guarded = marks(request);
        guarded.removeIf(mark -> !mRecords.isGuarded(mark));
        mRunning.put(server, guarded);
    }

    /**
     * Records the end of a guarded attempt, or that it has been answered.
     *
     * @param server the backend server
     */
    synchronized void ended(BackendServerId server) {
        mRunning.remove(server);
    }

    /**
     * Records that a backend server may have crashed before its answer to a request was complete.
     *
     * @param server the start of the backend server
     * @param request the request
     * @param sentNanos the local monotonic time at which it was sent
     */
    synchronized void lost(ServerIncarnation server, GatewayRequest request, long sentNanos) {
        Set<RequestMark> marks = marks(request);
        long now = mClock.nanos();
        long hash = mRecords.crashOf(hash(server), sentNanos);
        Set<RequestMark> recorded = mRecords.crashed(hash, now, sentNanos, marks);
        if (!recorded.isEmpty()) {
            mReports.crashed(hash, recorded);
            long lasted = recorded.stream().filter(mRecords::hasLasted).count();
            mLog.lost(server, request.id(), recorded.size(), lasted);
            mLog.crashed(hash);
            update();
            mOnCrash.run();
        }
    }

    /**
     * Records that the answer to a request has gone on for some time. A guarded request no longer
     * keeps others waiting, unless it is guarded also after that.
     *
     * @param server the backend server
     * @param request the request
     * @return true if the backend server may run other guarded requests
     */
    synchronized boolean lasted(BackendServerId server, GatewayRequest request) {
        long now = mClock.nanos();
        boolean changed = false;
        for (RequestMark mark : marks(request)) {
            Map<Long, Set<Set<RequestMark>>> reports = mRecords.lasted(mark, now);
            reports.forEach(mReports::crashedWith);
            changed |= !reports.isEmpty();
        }
        if (changed) {
            update();
        }
        Set<RequestMark> running = mRunning.get(server);
        return running == null || running.stream().noneMatch(mRecords::isGuarded);
    }

    /**
     * Records a complete answer: the request has not crashed its backend server.
     *
     * @param request the request
     */
    synchronized void answered(GatewayRequest request) {
        long now = mClock.nanos();
        boolean changed = false;
        for (RequestMark mark : marks(request)) {
            if (mRecords.answered(mark, now)) {
                mReports.answered(mark);
                changed = true;
            }
        }
        if (changed) {
            update();
        }
    }

    /**
     * Records that a backend server continues an answer.
     *
     * @param server the start of the backend server
     * @param sentNanos the local monotonic time at which the request was sent
     */
    synchronized void answers(ServerIncarnation server, long sentNanos) {
        long now = mClock.nanos();
        if (!mRecords.isEmpty() && mRecords.answers(hash(server), sentNanos, now)) {
            mReports.survived(hash(server));
            mLog.survived(server);
            update();
        }
    }

    /**
     * Returns the notices for the next digest.
     *
     * @param digests the number of digests that include each notice
     * @return the notices
     */
    synchronized CrashNews news(int digests) {
        long now = mClock.nanos();
        if (!mRecords.isEmpty() && mReports.renew(now)) {
            mRecords.expire(now);
            update();
        }
        return mReports.next(digests, now);
    }

    /**
     * Records the notices of another entry VM, and passes on those that are new.
     *
     * @param news the notices
     */
    synchronized void heard(CrashNews news) {
        if (news.isEmpty()) {
            return;
        }
        long now = mClock.nanos();
        for (long survivor : news.survivors()) {
            if (mRecords.survived(survivor)) {
                mReports.survived(survivor);
            }
        }
        for (AnswerNotice answer : news.answers()) {
            if (mRecords.heard(answer, now)) {
                mReports.answered(answer.mark());
            }
        }
        news.crashes().forEach(crash -> heard(crash, now));
        update();
    }

    /**
     * Records the notice of a crash. If a request with one of its marks was answered here, the
     * other entry VMs are told.
     *
     * @param notice the notice
     * @param now the local monotonic time
     */
    private void heard(CrashNotice notice, long now) {
        for (RequestMark mark : notice.marks()) {
            if (mRecords.answer(mark, now).isPresent()) {
                mReports.answered(mark);
            }
        }
        Set<RequestMark> recorded = mRecords.heard(notice, now);
        if (!recorded.isEmpty()) {
            mReports.crashed(notice.server(), recorded);
            mLog.crashed(notice.server());
            mOnCrash.run();
        }
    }

    /**
     * Identifies the start of a backend server in a few bytes.
     *
     * @param server the start of the backend server
     * @return a hash that is the same on all entry VMs
     */
    private static long hash(ServerIncarnation server) {
        return StableHash.of(server.id().value() + " " + server.startMark(), SERVER_SEED);
    }
}
