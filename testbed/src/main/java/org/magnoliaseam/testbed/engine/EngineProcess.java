package org.magnoliaseam.testbed.engine;

import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.magnoliaseam.testbed.http.StandInServer;

/** Resets the connections of an engine and takes it off the network for a time. */
final class EngineProcess implements AutoCloseable {

    /** The exit code of a crash that ends the process. */
    private static final int CRASH_EXIT_CODE = 3;

    /** The thread that stops and starts listening. */
    private final ScheduledExecutorService mExecutor = Executors.newSingleThreadScheduledExecutor();

    /** The server, or null before it is attached. */
    private volatile StandInServer mServer;

    /**
     * Sets the server.
     *
     * @param server the server
     */
    void attach(StandInServer server) {
        mServer = server;
    }

    /** Resets every connection. */
    void resetAll() {
        if (mServer != null) {
            mServer.resetAll();
        }
    }

    /** Ends the process at once. */
    void halt() {
        Runtime.getRuntime().halt(CRASH_EXIT_CODE);
    }

    /**
     * Refuses connections for a time.
     *
     * @param millis the time in milliseconds
     * @param back runs just before the engine listens again
     */
    void leaveNetwork(long millis, Runnable back) {
        mExecutor.execute(
                () -> {
                    try {
                        mServer.suspend();
                        TimeUnit.MILLISECONDS.sleep(millis);
                        back.run();
                        mServer.resume();
                    } catch (Exception e) {
                        System.err.println("engine: restart failed: " + e);
                    }
                });
    }

    @Override
    public void close() {
        mExecutor.shutdownNow();
    }
}
