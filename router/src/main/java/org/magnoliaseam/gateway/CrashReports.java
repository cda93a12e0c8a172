package org.magnoliaseam.gateway;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.magnoliaseam.suspect.AnswerNotice;
import org.magnoliaseam.suspect.CrashCause;
import org.magnoliaseam.suspect.CrashNews;
import org.magnoliaseam.suspect.CrashNotice;
import org.magnoliaseam.suspect.CrashRecords;
import org.magnoliaseam.suspect.RequestMark;

/** Collects what the other entry VMs are told of crashes of backend servers. Not thread-safe. */
final class CrashReports {

    /**
     * The largest number of unanswered requests in a digest: those of four crashes, so that the
     * requests of one crash do not delay those of the next.
     */
    private static final int MAX_CRASH_NOTICES = 64;

    /** The largest number of notices of each other kind in a digest. */
    private static final int MAX_NOTICES = 16;

    /** The interval at which notices of causes in force are sent again, in nanoseconds. */
    private static final long RENEWAL_NANOS = TimeUnit.SECONDS.toNanos(1);

    /**
     * Identifies a request that was unanswered at a crash.
     *
     * @param server the hash of the start of the backend server
     * @param marks the marks of the request
     */
    private record Report(long server, Set<RequestMark> marks) {}

    /** The unanswered requests. */
    private final RepeatedItems<Report> mCrashes = new RepeatedItems<>(MAX_CRASH_NOTICES);

    /** The marks of answered requests. */
    private final RepeatedItems<RequestMark> mAnswers = new RepeatedItems<>(MAX_NOTICES);

    /** The backend servers that have not crashed. */
    private final RepeatedItems<Long> mSurvivors = new RepeatedItems<>(MAX_NOTICES);

    /** The crashes and the answers since. */
    private final CrashRecords mRecords;

    /** The local monotonic time at which notices were last sent again. */
    private long mRenewedNanos;

    /**
     * Creates reports.
     *
     * @param records the crashes and the answers since
     * @param nowNanos the local monotonic time
     */
    CrashReports(CrashRecords records, long nowNanos) {
        mRecords = records;
        mRenewedNanos = nowNanos;
    }

    /**
     * Adds a request that was unanswered at a crash.
     *
     * @param server the hash of the start of the backend server
     * @param marks the marks of the request that may have caused the crash
     */
    void crashed(long server, Set<RequestMark> marks) {
        mCrashes.add(new Report(server, marks));
    }

    /**
     * Adds requests that were unanswered at a crash.
     *
     * @param server the hash of the start of the backend server
     * @param requests the marks of each request that may have caused the crash
     */
    void crashedWith(long server, Set<Set<RequestMark>> requests) {
        requests.forEach(marks -> mCrashes.add(new Report(server, marks)));
    }

    /**
     * Adds the crashes of a cause again, with the time of the last trial.
     *
     * @param cause the cause
     */
    void tried(CrashCause cause) {
        mRecords.reports(cause).forEach(this::crashedWith);
    }

    /**
     * Adds a mark of an answered request.
     *
     * @param mark the mark
     */
    void answered(RequestMark mark) {
        mAnswers.add(mark);
    }

    /**
     * Adds a backend server that has not crashed.
     *
     * @param server the hash of the start of the backend server
     */
    void survived(long server) {
        mSurvivors.add(server);
    }

    /**
     * Adds the notices of causes in force again if it is time to, for entry VMs that have just
     * started.
     *
     * @param nowNanos the local monotonic time
     * @return true if it was time
     */
    boolean renew(long nowNanos) {
        if (nowNanos - mRenewedNanos < RENEWAL_NANOS) {
            return false;
        }
        mRenewedNanos = nowNanos;
        for (CrashCause cause : mRecords.causes()) {
            tried(cause);
        }
        return true;
    }

    /**
     * Returns the notices for the next digest.
     *
     * @param digests the number of digests that include each notice
     * @param nowNanos the local monotonic time
     * @return the notices
     */
    CrashNews next(int digests, long nowNanos) {
        List<CrashNotice> crashes = new ArrayList<>();
        for (Report report : mCrashes.next(digests)) {
            mRecords.notice(report.server(), report.marks(), nowNanos).ifPresent(crashes::add);
        }
        List<AnswerNotice> answers = new ArrayList<>();
        for (RequestMark mark : mAnswers.next(digests)) {
            mRecords.answer(mark, nowNanos).ifPresent(answers::add);
        }
        return new CrashNews(crashes, answers, mSurvivors.next(digests));
    }
}
