package org.magnoliaseam.gateway;

import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.magnoliaseam.gossip.Membership;
import org.magnoliaseam.gossip.PeerEndpoint;
import org.magnoliaseam.leaving.ServerIncarnation;
import org.magnoliaseam.model.BackendServerId;
import org.magnoliaseam.model.FailureDomain;
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

    /**
     * The time that a backend server needs at least after a crash to accept connections again, in
     * nanoseconds.
     */
    private static final long RESTART_NANOS = TimeUnit.MILLISECONDS.toNanos(1500);

    /** The crashes and the answers since. */
    private final CrashRecords mRecords = new CrashRecords();

    /** What the other entry VMs are told. */
    private final CrashReports mReports;

    /** Logs and counts crashes and their causes. */
    private final CrashLog mLog = new CrashLog();

    /** The guarded attempts in progress. */
    private final GuardedRuns mRuns = new GuardedRuns();

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
        if (mLog.update(mRecords)) {
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
     * Sets the entry VMs, which take turns in trying requests that are refused.
     *
     * @param members the entry VMs that may be alive
     */
    synchronized void members(Membership members) {
        Comparator<PeerEndpoint> order =
                Comparator.comparing(PeerEndpoint::host).thenComparing(PeerEndpoint::port);
        long before =
                members.others().stream()
                        .filter(other -> order.compare(other, members.own()) < 0)
                        .count();
        int vms = Math.max(members.vms(), members.others().size() + 1);
        mRecords.trialTurns((int) before, members.settled() ? vms : 0);
    }

    /**
     * Tells whether a request may crash a backend server and must not run beside another such one.
     *
     * @param request the request
     * @return true if it is guarded
     */
    synchronized boolean guards(GatewayRequest request) {
        return !mRecords.isEmpty()
                && mRecords.verdict(CrashMarks.of(request), mClock.nanos()) != SuspectVerdict.FREE;
    }

    /**
     * Tells whether a request is refused since it crashes backend servers.
     *
     * @param request the request
     * @return true if it must not be sent
     */
    synchronized boolean refuses(GatewayRequest request) {
        return check(request) == SuspectVerdict.REFUSED;
    }

    /**
     * Decides how a request is treated. If it is refused, the cause is not forgotten.
     *
     * @param request the request
     * @return the decision; a trial while the request is one
     */
    synchronized SuspectVerdict check(GatewayRequest request) {
        if (mRecords.isEmpty()) {
            return SuspectVerdict.FREE;
        }
        long now = mClock.nanos();
        Set<RequestMark> marks = CrashMarks.of(request);
        SuspectVerdict verdict = mRecords.verdict(marks, now);
        if (verdict != SuspectVerdict.REFUSED) {
            return verdict;
        }
        if (mRuns.isTrial(request.id())) {
            return SuspectVerdict.TRIAL;
        }
        mRecords.cause(marks).ifPresent(cause -> mRecords.used(cause, now));
        mLog.countRefusal();
        return verdict;
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
        return mRuns.isolated(request, CrashMarks.of(request), candidates, now);
    }

    /**
     * Records that a backend server may not get a guarded request for a moment.
     *
     * @param server the backend server
     */
    synchronized void busy(BackendServerId server) {
        mRuns.busy(server, mClock.nanos());
    }

    /**
     * Records the start of a guarded attempt.
     *
     * @param server the backend server
     * @param request the request
     */
    synchronized void started(BackendServerId server, GatewayRequest request) {
        Set<RequestMark> guarded = CrashMarks.of(request);
        guarded.removeIf(mark -> !mRecords.isGuarded(mark));
        mRuns.started(server, request.id(), guarded);
    }

    /**
     * Records that a guarded attempt is sent. If such requests are refused, it is a trial, of which
     * the other entry VMs are told at once.
     *
     * @param server the backend server
     * @param request the request
     */
    synchronized void sent(BackendServerId server, GatewayRequest request) {
        Optional<CrashCause> cause = mRecords.cause(CrashMarks.of(request));
        if (cause.isPresent()) {
            mRuns.tried(server);
            mRecords.tried(cause.get(), mClock.nanos());
            mReports.tried(cause.get());
            mLog.tried(server, request.id(), cause.get());
            mChanges++;
            mOnCrash.run();
        }
    }

    /**
     * Records the end of a guarded attempt, or that it has been answered.
     *
     * @param server the backend server
     */
    synchronized void ended(BackendServerId server) {
        mRuns.ended(server);
    }

    /**
     * Records that a backend server may have crashed before its answer to a request was complete.
     *
     * @param server the start of the backend server
     * @param domain its failure domain
     * @param request the request
     * @param sentNanos the local monotonic time at which it was sent
     */
    synchronized void lost(
            ServerIncarnation server,
            FailureDomain domain,
            GatewayRequest request,
            long sentNanos) {
        Set<RequestMark> marks = CrashMarks.of(request);
        long now = mClock.nanos();
        long start = CrashMarks.of(server);
        if (mRecords.isUnreliable(start, now)) {
            return;
        }
        long hash = mRecords.crashOf(start, sentNanos);
        Set<RequestMark> recorded =
                mRecords.crashed(hash, CrashMarks.of(domain), now, sentNanos, marks);
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
        for (RequestMark mark : CrashMarks.of(request)) {
            Map<Long, Set<Set<RequestMark>>> reports = mRecords.lasted(mark, now);
            reports.forEach(mReports::crashedWith);
            changed |= !reports.isEmpty();
        }
        if (changed) {
            update();
        }
        return mRuns.marksAt(server).stream().noneMatch(mRecords::isGuarded);
    }

    /**
     * Records a complete answer: the request has not crashed its backend server.
     *
     * @param request the request
     */
    synchronized void answered(GatewayRequest request) {
        long now = mClock.nanos();
        boolean changed = false;
        for (RequestMark mark : CrashMarks.of(request)) {
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
        lived(server, sentNanos, mClock.nanos());
    }

    /**
     * Records that a backend server has accepted a connection, and answers on it.
     *
     * @param server the start of the backend server
     * @param openedNanos the local monotonic time at which the connection was made
     * @param untilNanos the local monotonic time until which the backend server is known to have
     *     lived
     */
    synchronized void connected(ServerIncarnation server, long openedNanos, long untilNanos) {
        lived(server, openedNanos - RESTART_NANOS, untilNanos);
    }

    /**
     * Records that a backend server is known to have lived for some time.
     *
     * @param server the start of the backend server
     * @param fromNanos the local monotonic time from which it is known to have lived
     * @param toNanos the local monotonic time until which it is
     */
    private void lived(ServerIncarnation server, long fromNanos, long toNanos) {
        if (mRecords.isEmpty()) {
            return;
        }
        Set<Long> survived = mRecords.lived(CrashMarks.of(server), fromNanos, toNanos);
        if (!survived.isEmpty()) {
            survived.forEach(mReports::survived);
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
            if (mRecords.survived(survivor, now)) {
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
}
