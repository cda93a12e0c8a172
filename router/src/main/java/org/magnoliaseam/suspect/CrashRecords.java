package org.magnoliaseam.suspect;

import java.util.Collection;
import java.util.HashSet;
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

    /** The time that a refused caller is told to wait, in milliseconds. */
    public static final long RETRY_AFTER_MILLIS = 60_000;

    /** The largest number of crashes to keep; the one that is unused the longest is dropped. */
    public static final int MAX_CRASHES = 64;

    /** The time without such requests after which a crash is forgotten, in nanoseconds. */
    private static final long RETENTION_NANOS = TimeUnit.MINUTES.toNanos(10);

    /**
     * The time after a crash for which answers may still arrive and connections be made, in
     * nanoseconds.
     */
    private static final long CRASH_SLACK_NANOS = TimeUnit.MILLISECONDS.toNanos(100);

    /** The crashes. */
    private final CrashTable mCrashes = new CrashTable(MAX_CRASHES);

    /** The marks of requests whose answer was complete. */
    private final AnsweredMarks mAnswered = new AnsweredMarks();

    /** The marks of requests whose answer has gone on for some time. */
    private final AnsweredMarks mLasted = new AnsweredMarks();

    /** The starts of backend servers that have not crashed. */
    private final SurvivedStarts mSurvived = new SurvivedStarts();

    /** Decides when refused requests are tried. */
    private final TrialSchedule mTrials = new TrialSchedule();

    /** What explains the crashes; null if they have changed. */
    private CrashAnalysis mAnalysis;

    /**
     * Sets the turns in which the entry VMs try requests that are refused.
     *
     * @param rank the number of turns of other entry VMs before the one of this entry VM
     * @param vms the number of entry VMs that take turns; 0 if this entry VM takes none
     */
    public void trialTurns(int rank, int vms) {
        mTrials.turns(rank, vms);
    }

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
     * @param domain the hash of its failure domain
     * @param crashNanos the local monotonic time of the crash
     * @param sentNanos the local monotonic time at which the request was sent
     * @param marks the marks of the request
     * @return the marks that may have caused the crash; empty if nothing new was recorded
     */
    public Set<RequestMark> crashed(
            long server,
            long domain,
            long crashNanos,
            long sentNanos,
            Collection<RequestMark> marks) {
        Set<RequestMark> candidates =
                marks.stream()
                        .filter(mark -> !mAnswered.contains(mark))
                        .collect(Collectors.toUnmodifiableSet());
        if (candidates.isEmpty() || isUnreliable(server, crashNanos)) {
            return Set.of();
        }
        if (!mCrashes.add(server, domain, crashNanos, candidates, sentNanos)) {
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
     * Tells whether a connection lost at a backend server is no evidence of a crash.
     *
     * @param server the hash of the start of the backend server
     * @param nanos the local monotonic time at which it was lost
     * @return true shortly after the start has lived on though connections were lost
     */
    public boolean isUnreliable(long server, long nanos) {
        return mSurvived.isUnreliable(server, nanos);
    }

    /**
     * Records that a start of a backend server is known to have lived for some time.
     *
     * @param server the hash of the start
     * @param fromNanos the local monotonic time from which it is known to have lived
     * @param toNanos the local monotonic time until which it is
     * @return the hashes of the recorded crashes that did not happen, with the one of the start
     *     unless an earlier crash stands under it; empty if there are none
     */
    public Set<Long> lived(long server, long fromNanos, long toNanos) {
        List<Long> refuted = mCrashes.refuted(server, fromNanos, toNanos - CRASH_SLACK_NANOS);
        if (refuted.isEmpty()) {
            return Set.of();
        }
        Set<Long> survived = new HashSet<>(refuted);
        if (mCrashes.crash(server).isEmpty()) {
            survived.add(server);
        }
        survived.forEach(hash -> survived(hash, toNanos));
        return survived;
    }

    /**
     * Records that a backend server has not crashed, though connections to it were lost.
     *
     * @param server the hash of the start of the backend server, or of a crash of it
     * @param nanos the local monotonic time at which it is known to live
     * @return true if it was not known
     */
    public boolean survived(long server, long nanos) {
        boolean added = mSurvived.add(server, nanos);
        if (mCrashes.remove(server)) {
            mAnalysis = null;
        }
        return added;
    }

    /**
     * Decides how a request is treated.
     *
     * @param marks its marks
     * @param nowNanos the local monotonic time
     * @return the decision
     */
    public SuspectVerdict verdict(Collection<RequestMark> marks, long nowNanos) {
        Optional<CrashCause> cause = cause(marks);
        if (cause.isPresent()) {
            return mTrials.isDue(cause.get(), crashes(cause.get()), nowNanos)
                    ? SuspectVerdict.TRIAL
                    : SuspectVerdict.REFUSED;
        }
        return marks.stream().anyMatch(analysis()::isGuarded)
                ? SuspectVerdict.GUARDED
                : SuspectVerdict.FREE;
    }

    /**
     * Finds the cause for which a request is refused, but for trials.
     *
     * @param marks the marks of the request
     * @return the cause; empty if the request may run
     */
    public Optional<CrashCause> cause(Collection<RequestMark> marks) {
        return causes().stream().filter(cause -> cause.matches(marks)).findFirst();
    }

    /**
     * Records that a cause had a request refused, which keeps it from being forgotten.
     *
     * @param cause the cause
     * @param nanos the local monotonic time
     */
    public void used(CrashCause cause, long nanos) {
        crashes(cause).forEach(crash -> crash.used(nanos));
    }

    /**
     * Records that a request is tried that a cause has refused.
     *
     * @param cause the cause
     * @param nanos the local monotonic time
     */
    public void tried(CrashCause cause, long nanos) {
        crashes(cause).forEach(crash -> crash.tried(nanos));
    }

    /**
     * Returns the causes that have requests refused.
     *
     * @return the causes
     */
    public List<CrashCause> causes() {
        return analysis().causes();
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
        for (CrashCause cause : causes()) {
            Crash.latest(crashes(cause), Crash::usedNanos)
                    .ifPresent(latest -> crashes(cause).forEach(crash -> crash.used(latest)));
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
                .map(crash -> crash.notice(marks, this::hasLasted, nowNanos));
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
                        notice.domain(),
                        Ages.nanos(notice.crashAgeMillis(), nowNanos),
                        Ages.nanos(notice.sentAgeMillis(), nowNanos),
                        notice.marks());
        Optional<Crash> crash = mCrashes.crash(notice.server());
        if (crash.isPresent()) {
            crash.get().used(Ages.nanos(notice.useAgeMillis(), nowNanos));
            crash.get().tried(Ages.nanos(notice.triedAgeMillis(), nowNanos));
        }
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
     * Returns the crashes that a cause explains.
     *
     * @param cause the cause
     * @return the crashes that are still recorded
     */
    private List<Crash> crashes(CrashCause cause) {
        return cause.servers().stream().map(mCrashes::crash).flatMap(Optional::stream).toList();
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
