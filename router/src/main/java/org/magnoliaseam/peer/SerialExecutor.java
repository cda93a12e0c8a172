package org.magnoliaseam.peer;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.Executor;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/** Runs tasks one at a time and in order on the threads of another executor. */
final class SerialExecutor implements Executor {

    /** The logger of this class. */
    private static final Logger LOG = LogManager.getLogger(SerialExecutor.class);

    /** Provides the threads. */
    private final Executor mThreads;

    /** The waiting tasks. */
    private final Deque<Runnable> mTasks = new ArrayDeque<>();

    /** Whether a task runs or is about to run. */
    private boolean mActive;

    /**
     * Creates an executor.
     *
     * @param threads provides the threads
     */
    SerialExecutor(Executor threads) {
        mThreads = threads;
    }

    @Override
    public synchronized void execute(Runnable task) {
        mTasks.add(task);
        if (!mActive) {
            mActive = true;
            mThreads.execute(this::runNext);
        }
    }

    /** Runs the next task and schedules the one after it. */
    private void runNext() {
        Runnable task;
        synchronized (this) {
            task = mTasks.poll();
        }
        try {
            task.run();
        } catch (RuntimeException e) {
            LOG.error("peer: an event handler failed.", e);
        } finally {
            scheduleNext();
        }
    }

    /** Schedules the next task if there is one. */
    private synchronized void scheduleNext() {
        mActive = !mTasks.isEmpty();
        if (mActive) {
            mThreads.execute(this::runNext);
        }
    }
}
