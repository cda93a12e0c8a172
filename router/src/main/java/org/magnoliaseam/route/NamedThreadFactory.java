package org.magnoliaseam.route;

import java.util.concurrent.ThreadFactory;
import java.util.concurrent.atomic.AtomicInteger;

/** Creates daemon threads whose names consist of a prefix and a number. */
final class NamedThreadFactory implements ThreadFactory {

    /** The prefix of the thread names. */
    private final String mPrefix;

    /** The number of the last thread. */
    private final AtomicInteger mCount = new AtomicInteger();

    /**
     * Creates a factory.
     *
     * @param prefix the prefix of the thread names
     */
    NamedThreadFactory(String prefix) {
        mPrefix = prefix;
    }

    @Override
    public Thread newThread(Runnable task) {
        Thread thread = new Thread(task, mPrefix + "-" + mCount.incrementAndGet());
        thread.setDaemon(true);
        return thread;
    }
}
