package org.magnoliaseam.gateway;

import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.Set;
import java.util.concurrent.atomic.LongAdder;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.magnoliaseam.leaving.ServerIncarnation;
import org.magnoliaseam.model.BackendServerId;
import org.magnoliaseam.model.RequestId;
import org.magnoliaseam.suspect.CrashCause;
import org.magnoliaseam.suspect.CrashRecords;
import org.magnoliaseam.suspect.RequestMark;

/** Logs and counts crashes of backend servers and what causes them. Counts are thread-safe. */
public final class CrashLog {

    /** Logs crashes and their causes. */
    private static final Logger LOG = LogManager.getLogger("crash");

    /** The starts of backend servers whose crash was counted. */
    private final Set<Long> mSeen = new LinkedHashSet<>();

    /** The causes that were logged and are still in force. */
    private Set<Set<RequestMark>> mLogged = Set.of();

    /** The number of crashes seen by this or reported by other entry VMs. */
    private final LongAdder mCrashes = new LongAdder();

    /** The number of causes that came into force. */
    private final LongAdder mCauses = new LongAdder();

    /** The number of times that a request was refused. */
    private final LongAdder mRefused = new LongAdder();

    /** The number of requests that were tried though such requests were refused. */
    private final LongAdder mTrials = new LongAdder();

    /**
     * Records a request that was unanswered when its connection was lost.
     *
     * @param server the start of the backend server
     * @param request the request
     * @param marks the number of its marks that may have caused a crash
     * @param lasted the number of these with which an answer has gone on for some time
     */
    void lost(ServerIncarnation server, RequestId request, int marks, long lasted) {
        LOG.info(
                "crash: unanswered request lost, server={} start_mark={} request={} marks={}"
                        + " lasted={}",
                server.id(),
                server.startMark(),
                request,
                marks,
                lasted);
    }

    /**
     * Records that a backend server has not crashed, though connections to it were lost.
     *
     * @param server the start of the backend server
     */
    void survived(ServerIncarnation server) {
        LOG.info(
                "crash: backend server has not crashed, server={} start_mark={}",
                server.id(),
                server.startMark());
    }

    /**
     * Counts the crash of a backend server once.
     *
     * @param server the hash of the start of the backend server
     */
    void crashed(long server) {
        if (mSeen.add(server)) {
            mCrashes.increment();
        }
        if (mSeen.size() > CrashRecords.MAX_CRASHES) {
            mSeen.remove(mSeen.iterator().next());
        }
    }

    /** Counts a refused request. */
    void countRefusal() {
        mRefused.increment();
    }

    /**
     * Records that a request is tried that a cause has refused.
     *
     * @param server the backend server
     * @param request the request
     * @param cause the cause
     */
    void tried(BackendServerId server, RequestId request, CrashCause cause) {
        mTrials.increment();
        LOG.info(
                "crash: a refused request is tried, server={} request={} crashes={} marks={}",
                server,
                request,
                cause.crashes(),
                text(cause.marks()));
    }

    /**
     * Logs and counts causes that came into force, and logs those that no longer are.
     *
     * @param records the crashes
     * @return true if the causes in force have changed
     */
    boolean update(CrashRecords records) {
        Set<Set<RequestMark>> inForce = new HashSet<>();
        for (CrashCause cause : records.causes()) {
            inForce.add(cause.marks());
            if (!mLogged.contains(cause.marks())) {
                mCauses.increment();
                LOG.warn(
                        "crash: requests are refused, crashes={} servers={} marks={}",
                        cause.crashes(),
                        cause.servers().size(),
                        text(cause.marks()));
            }
        }
        for (Set<RequestMark> marks : mLogged) {
            if (!inForce.contains(marks)) {
                LOG.info("crash: requests are no longer refused, marks={}", text(marks));
            }
        }
        boolean changed = !mLogged.equals(inForce);
        mLogged = inForce;
        return changed;
    }

    /**
     * Formats marks for the log.
     *
     * @param marks the marks
     * @return the hashes, with the kind of each
     */
    private static String text(Set<RequestMark> marks) {
        StringBuilder text = new StringBuilder();
        for (RequestMark mark : marks) {
            text.append(text.isEmpty() ? "" : ",")
                    .append(mark.isWholeRequest() ? "request:" : "part:")
                    .append(Long.toHexString(mark.value()));
        }
        return text.toString();
    }

    /**
     * Returns the number of crashes of backend servers with unanswered requests.
     *
     * @return the number since the start of the process
     */
    public long crashes() {
        return mCrashes.sum();
    }

    /**
     * Returns the number of causes of crashes that were found.
     *
     * @return the number since the start of the process
     */
    public long causes() {
        return mCauses.sum();
    }

    /**
     * Returns how often a request was refused since it crashes backend servers.
     *
     * @return the number since the start of the process
     */
    public long refused() {
        return mRefused.sum();
    }

    /**
     * Returns how many requests were tried by this entry VM though such requests were refused.
     *
     * @return the number since the start of the process
     */
    public long trials() {
        return mTrials.sum();
    }
}
