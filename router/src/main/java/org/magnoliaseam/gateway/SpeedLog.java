package org.magnoliaseam.gateway;

import com.codahale.metrics.ExponentiallyDecayingReservoir;
import com.codahale.metrics.Histogram;
import java.util.concurrent.atomic.LongAdder;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/** Logs and counts what is assumed about the speed of backend servers. Thread-safe. */
public final class SpeedLog {

    /** Logs changes of the state of backend servers. */
    private static final Logger LOG = LogManager.getLogger("board");

    /** The number of percents in a factor of 1. */
    private static final double PERCENT = 100;

    /** The number of reported factors. */
    private final LongAdder mReports = new LongAdder();

    /** The number of times that responses began to contradict reports. */
    private final LongAdder mContradictions = new LongAdder();

    /** The factors of the backend servers that requests were sent to, in percent. */
    private final Histogram mFactors = new Histogram(new ExponentiallyDecayingReservoir());

    /**
     * Records a reported factor.
     *
     * @param state the backend server
     * @param first whether it is the first of the service
     */
    void reported(BackendServerState state, boolean first) {
        mReports.increment();
        if (first) {
            LOG.info(
                    "board: predicted times use reported factors, service={}",
                    state.entry().service());
        }
    }

    /**
     * Records that a request is sent.
     *
     * @param state the backend server
     * @param nowNanos the local monotonic time
     */
    void sent(BackendServerState state, long nowNanos) {
        if (state.times().hasFactors()) {
            mFactors.update(Math.round(state.times().factor(nowNanos) * PERCENT));
        }
    }

    /**
     * Records a measured time, which may contradict the reports.
     *
     * @param state the backend server
     * @param nowNanos the local monotonic time
     */
    void measured(BackendServerState state, long nowNanos) {
        if (!state.times().takeJudgement(nowNanos)) {
            return;
        }
        if (state.times().contradicted()) {
            mContradictions.increment();
            LOG.warn(
                    "board: responses contradict the reported factors, id={} factor={}",
                    state.id(),
                    state.times().factor(nowNanos));
        } else {
            LOG.info("board: responses agree with the reported factors, id={}", state.id());
        }
    }

    /**
     * Returns how many factors were reported.
     *
     * @return the number since the start of the process
     */
    public long reports() {
        return mReports.sum();
    }

    /**
     * Returns how many times responses began to contradict reports.
     *
     * @return the number since the start of the process
     */
    public long contradictions() {
        return mContradictions.sum();
    }

    /**
     * Returns the factors of the backend servers that requests were sent to.
     *
     * @return the factors in percent
     */
    public Histogram factors() {
        return mFactors;
    }
}
