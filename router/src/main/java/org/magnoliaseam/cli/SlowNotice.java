package org.magnoliaseam.cli;

import java.time.Duration;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

/** Writes a notice if an operation is not finished after a delay. */
final class SlowNotice implements AutoCloseable {

    /** The default delay before the notice. */
    static final Duration DELAY = Duration.ofSeconds(2);

    /** Writes the notice after the delay. */
    private final ScheduledExecutorService mTimer;

    /**
     * Schedules the notice.
     *
     * @param console the streams to write to
     * @param message what the program is waiting for
     * @param delay the delay before the notice
     */
    SlowNotice(Console console, String message, Duration delay) {
        mTimer =
                Executors.newSingleThreadScheduledExecutor(
                        task -> {
                            Thread thread = new Thread(task, "slow-notice");
                            thread.setDaemon(true);
                            return thread;
                        });
        mTimer.schedule(() -> console.error(message), delay.toMillis(), TimeUnit.MILLISECONDS);
    }

    @Override
    public void close() {
        mTimer.shutdownNow();
    }
}
