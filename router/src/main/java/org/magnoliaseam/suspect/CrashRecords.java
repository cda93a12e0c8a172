package org.magnoliaseam.suspect;

import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;

/**
 * Records which requests were unanswered when backend servers crashed, as seen by all entry VMs,
 * and decides which requests are refused. A request is unanswered until its answer is complete.
 * Several reports of one crash count once. Not thread-safe.
 */
public final class CrashRecords {

    /**
     * The time without such requests after which one is tried again, in milliseconds; what a
     * refused caller is told to wait.
     */
    public static final long QUIET_MILLIS = 60_000;

    /** The largest number of crashes to keep; the one that is unused the longest is dropped. */
    public static final int MAX_CRASHES = 64;

    /** The time without such requests after which a crash is forgotten, in nanoseconds. */
    private static final long RETENTION_NANOS = TimeUnit.MINUTES.toNanos(10);

    /** The crashes after which requests are no longer tried again. */
    private static final int FINAL_CRASHES = 6;

    /** The largest number of starts that have survived to keep. */
    private static final int MAX_SURVIVORS = 256;

    /** The time for which answers may still arrive after a crash, in nanoseconds. */
    private static final long CRASH_SLACK_NANOS = TimeUnit.MILLISECONDS.toNanos(100);

    /** The crashes. */
    private final CrashTable mCrashes = new CrashTable(MAX_CRASHES);

    /** The marks of requests whose answer was complete. */
    private final AnsweredMarks mAnswered = new AnsweredMarks();

    /** The marks of requests whose answer has gone on for some time. */
    private final AnsweredMarks mLasted = new AnsweredMarks();

    /** The starts of backend servers that have not crashed. */
    private final Set<Long> mSurvivors = new LinkedHashSet<>();

    /** What explains the crashes; null if they have changed. */
    private CrashAnalysis mAnalysis;

    /**
     * Identifies the crash at which a request was lost. A request that was sent after a recorded
     * crash was lost at another one, also if the backend server is not published anew, as during an
     * outage of the publisher.
     *
     * @param server the hash of the start of the backend server
     * @param sentNanos the local monotonic time at which the request was sent
     * @return the hash to record the crash under
     */
    public long crashOf(long server, long sentNanos) {
        return mCrashes.crashOf(server, sentNanos);
    }

    /**
     * Records a request that was unanswered when a backend server crashed.
     *
     * @param server the hash of the start of the backend server
     * @param crashNanos the local monotonic time of the crash
     * @param sentNanos the local monotonic time at which the request was sent
     * @param marks the marks of the request
     * @return the marks that may have caused the crash; empty if nothing new was recorded
     */
    public Set<RequestMark> crashed(
            long server, long crashNanos, long sentNanos, Collection<RequestMark> marks) {
        Set<RequestMark> candidates =
                marks.stream()
                        .filter(mark -> !mAnswered.contains(mark))
                        .collect(Collectors.toUnmodifiableSet());
        if (candidates.isEmpty() || mSurvivors.contains(server)) {
            return Set.of();
        }
        if (!mCrashes.add(server, crashNanos, candidates, sentNanos)) {
            return Set.of();
        }
        mAnalysis = null;
        return candidates;
    }

    /**
     * Records that the answer to a request with a mark has gone on for some time. More crashes are
     * needed then for the mark to be a cause.
     *
     * @param mark the mark
     * @param nanos the local monotonic time
     * @return the notices that the other entry VMs need: the hashes of the starts of the backend
     *     servers at whose crash the mark is a candidate, with the marks of the requests; empty if
     *     this is not new
     */
    public Map<Long, Set<Set<RequestMark>>> lasted(RequestMark mark, long nanos) {
        boolean known = hasLasted(mark);
        mLasted.add(mark, nanos);
        if (known) {
            return Map.of();
        }
        Map<Long, Set<Set<RequestMark>>> reports = mCrashes.requestsWith(mark);
        if (!reports.isEmpty()) {
            mAnalysis = null;
        }
        return reports;
    }

    /**
     * Tells whether the answer to a request with a mark is known to have gone on for some time.
     *
     * @param mark the mark
     * @return true if it has lasted lately
     */
    public boolean hasLasted(RequestMark mark) {
        return mLasted.contains(mark);
    }

    /**
     * Records a complete answer to a request with a mark, which does not crash backend servers
     * then.
     *
     * @param mark the mark
     * @param nanos the local monotonic time of the answer
     * @return true if the mark was a candidate for an earlier crash
     */
    public boolean answered(RequestMark mark, long nanos) {
        mAnswered.add(mark, nanos);
        boolean changed = mCrashes.remove(mark);
        if (changed) {
            mAnalysis = null;
        }
        return changed;
    }

    /**
     * Records that a backend server answers a request that it got before its recorded crash.
     *
     * @param server the hash of the start of the backend server
     * @param sentNanos the local monotonic time at which the request was sent
     * @param nowNanos the local monotonic time
     * @return true if the backend server has not crashed, though it was recorded
     */
    public boolean answers(long server, long sentNanos, long nowNanos) {
        boolean survived =
                mCrashes.crash(server)
                        .filter(crash -> crash.nanos() - sentNanos > 0)
                        .filter(crash -> nowNanos - crash.nanos() > CRASH_SLACK_NANOS)
                        .isPresent();
        return survived && survived(server);
    }

    /**
     * Records that a backend server has not crashed, though connections to it were lost.
     *
     * @param server the hash of the start of the backend server
     * @return true if it was not known
     */
    public boolean survived(long server) {
        if (!mSurvivors.add(server)) {
            return false;
        }
        if (mSurvivors.size() > MAX_SURVIVORS) {
            mSurvivors.remove(mSurvivors.iterator().next());
        }
        if (mCrashes.remove(server)) {
            mAnalysis = null;
        }
        return true;
    }

    /**
     * Decides how a request is treated.
     *
     * @param marks its marks
     * @param nowNanos the local monotonic time
     * @return the decision
     */
    public SuspectVerdict verdict(Collection<RequestMark> marks, long nowNanos) {
        if (cause(marks, nowNanos).isPresent()) {
            return SuspectVerdict.REFUSED;
        }
        return marks.stream().anyMatch(analysis()::isGuarded)
                ? SuspectVerdict.GUARDED
                : SuspectVerdict.FREE;
    }

    /**
     * Finds the cause for which a request is refused now.
     *
     * @param marks the marks of the request
     * @param nowNanos the local monotonic time
     * @return the cause; empty if the request may run
     */
    public Optional<CrashCause> cause(Collection<RequestMark> marks, long nowNanos) {
        return analysis().causes().stream()
                .filter(cause -> cause.matches(marks) && isInForce(cause, nowNanos))
                .findFirst();
    }

    /**
     * Records that a cause had a request refused, which keeps it in force.
     *
     * @param cause the cause
     * @param nanos the local monotonic time
     */
    public void used(CrashCause cause, long nanos) {
        crashes(cause).forEach(crash -> crash.used(nanos));
    }

    /**
     * Returns the causes that have requests refused.
     *
     * @param nowNanos the local monotonic time
     * @return the causes
     */
    public List<CrashCause> causesInForce(long nowNanos) {
        return analysis().causes().stream().filter(cause -> isInForce(cause, nowNanos)).toList();
    }

    /**
     * Tells whether a request with a mark must not run beside other guarded ones.
     *
     * @param mark the mark
     * @return true if one more crash would make it a cause, or if it is part of one
     */
    public boolean isGuarded(RequestMark mark) {
        return analysis().isGuarded(mark);
    }

    /**
     * Tells whether no crash is recorded.
     *
     * @return true if no request is guarded or refused
     */
    public boolean isEmpty() {
        return mCrashes.crashes().isEmpty();
    }

    /**
     * Forgets crashes that have had no request refused for a long time. Those that one cause
     * explains are forgotten together.
     *
     * @param nowNanos the local monotonic time
     */
    public void expire(long nowNanos) {
        for (CrashCause cause : analysis().causes()) {
            List<Crash> crashes = crashes(cause);
            crashes.stream()
                    .map(Crash::usedNanos)
                    .max((a, b) -> Long.signum(a - b))
                    .ifPresent(latest -> crashes.forEach(crash -> crash.used(latest)));
        }
        if (mCrashes.expire(nowNanos, RETENTION_NANOS)) {
            mAnalysis = null;
        }
    }

    /**
     * Returns the notices of the crashes that a cause explains.
     *
     * @param cause the cause
     * @return the hashes of the starts of the backend servers, with the marks of the requests
     */
    public Map<Long, Set<Set<RequestMark>>> reports(CrashCause cause) {
        return crashes(cause).stream().collect(Collectors.toMap(Crash::server, Crash::requests));
    }

    /**
     * Returns the notice of a request that was unanswered at a crash.
     *
     * @param server the hash of the start of the backend server
     * @param marks the marks of the request
     * @param nowNanos the local monotonic time
     * @return the notice; empty if the request no longer counts
     */
    public Optional<CrashNotice> notice(long server, Set<RequestMark> marks, long nowNanos) {
        return mCrashes.crash(server)
                .filter(crash -> crash.sentNanos(marks) != null)
                .map(
                        crash ->
                                new CrashNotice(
                                        server,
                                        Ages.millis(crash.nanos(), nowNanos),
                                        Ages.millis(crash.sentNanos(marks), nowNanos),
                                        Ages.millis(crash.usedNanos(), nowNanos),
                                        marks,
                                        marks.stream()
                                                .filter(this::hasLasted)
                                                .collect(Collectors.toUnmodifiableSet())));
    }

    /**
     * Records a notice of another entry VM.
     *
     * @param notice the notice
     * @param nowNanos the local monotonic time
     * @return the marks that may have caused the crash; empty if nothing new was recorded
     */
    public Set<RequestMark> heard(CrashNotice notice, long nowNanos) {
        boolean news = false;
        for (RequestMark mark : notice.lasted()) {
            news |= !lasted(mark, nowNanos).isEmpty();
        }
        Set<RequestMark> recorded =
                crashed(
                        notice.server(),
                        Ages.nanos(notice.crashAgeMillis(), nowNanos),
                        Ages.nanos(notice.sentAgeMillis(), nowNanos),
                        notice.marks());
        mCrashes.crash(notice.server())
                .ifPresent(crash -> crash.used(Ages.nanos(notice.useAgeMillis(), nowNanos)));
        return news ? notice.marks() : recorded;
    }

    /**
     * Returns the latest answer to a request with a mark.
     *
     * @param mark the mark
     * @param nowNanos the local monotonic time
     * @return the notice of the answer; empty if none is known
     */
    public Optional<AnswerNotice> answer(RequestMark mark, long nowNanos) {
        return mAnswered
                .nanos(mark)
                .map(nanos -> new AnswerNotice(mark, Ages.millis(nanos, nowNanos)));
    }

    /**
     * Records an answer that another entry VM reports.
     *
     * @param notice the notice
     * @param nowNanos the local monotonic time
     * @return true if the mark was a candidate for an earlier crash
     */
    public boolean heard(AnswerNotice notice, long nowNanos) {
        return answered(notice.mark(), Ages.nanos(notice.ageMillis(), nowNanos));
    }

    /**
     * Tells whether a cause has requests refused.
     *
     * @param cause the cause
     * @param nowNanos the local monotonic time
     * @return false if no such request has come for a while and one may be tried
     */
    private boolean isInForce(CrashCause cause, long nowNanos) {
        long quietNanos = TimeUnit.MILLISECONDS.toNanos(QUIET_MILLIS);
        return cause.crashes() >= FINAL_CRASHES
                || crashes(cause).stream()
                        .anyMatch(crash -> nowNanos - crash.usedNanos() <= quietNanos);
    }

    /**
     * Returns the crashes that a cause explains.
     *
     * @param cause the cause
     * @return the crashes that are still recorded
     */
    private List<Crash> crashes(CrashCause cause) {
        List<Crash> crashes = new ArrayList<>();
        for (long server : cause.servers()) {
            mCrashes.crash(server).ifPresent(crashes::add);
        }
        return crashes;
    }

    /**
     * Returns what explains the crashes.
     *
     * @return the analysis of the current crashes
     */
    private CrashAnalysis analysis() {
        if (mAnalysis == null) {
            mAnalysis = new CrashAnalysis(mCrashes.crashes(), this::hasLasted);
        }
        return mAnalysis;
    }
}
