package org.magnoliaseam.gateway;

import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.LongAdder;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.magnoliaseam.leaving.LeavingServers;
import org.magnoliaseam.leaving.LeavingSource;
import org.magnoliaseam.leaving.ServerIncarnation;

/** Logs and counts what backend servers state about themselves. Thread-safe. */
public final class ServerNotices {

    /** Logs changes of the state of backend servers. */
    private static final Logger LOG = LogManager.getLogger("board");

    /** The number of backend servers that were found to be leaving. */
    private final LongAdder mLeavingBegun = new LongAdder();

    /** The number of leaving backend servers that started again under the same id. */
    private final LongAdder mLeavingEnded = new LongAdder();

    /**
     * Records that a backend server is leaving.
     *
     * @param server the start of the backend server
     * @param source the source
     */
    void leavingBegan(ServerIncarnation server, LeavingSource source) {
        mLeavingBegun.increment();
        LOG.info(
                "board: backend server is leaving, id={} start_mark={} source={}",
                server.id(),
                server.startMark(),
                source.text());
    }

    /**
     * Records that a leaving backend server has started again.
     *
     * @param known what was known of the earlier start
     * @param now the later start
     * @param nowNanos the local monotonic time
     */
    void leavingEnded(LeavingServers.Leaving known, ServerIncarnation now, long nowNanos) {
        mLeavingEnded.increment();
        LOG.info(
                "board: leaving backend server has started again, id={} start_mark={} source={}"
                        + " age_ms={}",
                now.id(),
                now.startMark(),
                known.source().text(),
                TimeUnit.NANOSECONDS.toMillis(nowNanos - known.sinceNanos()));
    }

    /**
     * Returns how many backend servers were found to be leaving.
     *
     * @return the number since the start of the process
     */
    public long leavingBegun() {
        return mLeavingBegun.sum();
    }

    /**
     * Returns how many leaving backend servers started again under the same id.
     *
     * @return the number since the start of the process
     */
    public long leavingEnded() {
        return mLeavingEnded.sum();
    }
}
