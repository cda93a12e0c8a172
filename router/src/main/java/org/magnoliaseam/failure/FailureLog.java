package org.magnoliaseam.failure;

import com.codahale.metrics.Counter;
import com.codahale.metrics.MetricRegistry;
import java.util.EnumMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.magnoliaseam.time.MonotonicClock;

/** Counts unexpected failures and logs some of each kind. Thread-safe. */
public final class FailureLog {

    /** The shortest time between two log lines on the same kind of step, in nanoseconds. */
    private static final long LOG_NANOS = TimeUnit.SECONDS.toNanos(1);

    /** Logs failures. */
    private static final Logger LOG = LogManager.getLogger("gateway");

    /** The failures of each kind of step. */
    private final Map<FailedStep, Failures> mFailures = new EnumMap<>(FailedStep.class);

    /** The clock. */
    private final MonotonicClock mClock;

    /**
     * Holds the failures of one kind of step.
     *
     * @param counter counts them
     * @param nextLogNanos the local monotonic time before which no further one is logged
     */
    private record Failures(Counter counter, AtomicLong nextLogNanos) {}

    /**
     * Creates a log without failures.
     *
     * @param metrics holds the counters
     * @param clock the clock
     */
    public FailureLog(MetricRegistry metrics, MonotonicClock clock) {
        mClock = clock;
        for (FailedStep step : FailedStep.values()) {
            Counter counter = metrics.counter("gateway.failures." + step.text());
            mFailures.put(step, new Failures(counter, new AtomicLong(clock.nanos())));
        }
    }

    /**
     * Runs a step. What it throws is counted and logged and goes no further, so that the steps
     * after it run.
     *
     * @param kind the kind of step
     * @param request the request concerned; empty if none
     * @param step the step
     * @return false if it threw
     */
    public boolean guard(FailedStep kind, String request, Runnable step) {
        try {
            step.run();
            return true;
        } catch (RuntimeException | Error e) {
            failed(kind, request, e);
            return false;
        }
    }

    /**
     * Counts a failure, and logs it unless another one of the same kind was logged shortly before.
     *
     * @param step the kind of step
     * @param request the request concerned; empty if none
     * @param cause what the step threw
     */
    public void failed(FailedStep step, String request, Throwable cause) {
        Failures failures = mFailures.get(step);
        failures.counter().inc();
        long now = mClock.nanos();
        long next = failures.nextLogNanos().get();
        if (now - next >= 0 && failures.nextLogNanos().compareAndSet(next, now + LOG_NANOS)) {
            LOG.error(
                    "gateway: a step failed unexpectedly, step={} request={} failures={} cause={}",
                    step.text(),
                    request,
                    failures.counter().getCount(),
                    cause.getClass().getName(),
                    cause);
        }
    }
}
