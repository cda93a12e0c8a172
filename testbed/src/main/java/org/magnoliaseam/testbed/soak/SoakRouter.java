package org.magnoliaseam.testbed.soak;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ConcurrentLinkedQueue;
import org.magnoliaseam.testbed.harness.ManagedProcess;
import org.magnoliaseam.testbed.harness.Signal;
import org.magnoliaseam.testbed.http.ListenAddress;
import org.magnoliaseam.testbed.proxy.FaultProxy;
import org.magnoliaseam.testbed.proxy.LinkFaults;

/** Runs one entry VM's process, which faults stop, pause, kill and start again. Thread-safe. */
final class SoakRouter implements AutoCloseable {

    /** The stop grace period of the settings and a margin. */
    private static final Duration STOP_LIMIT = Duration.ofSeconds(12);

    /** The setting that reloads change, without its last digit. */
    private static final String CHANGED_SETTING = "retry-slack = 5";

    /** The name of the VM. */
    private final String mName;

    /** The command line of the router. */
    private final List<String> mCommand;

    /** The folder for settings and output. */
    private final Path mFolder;

    /** The settings at the start. */
    private final String mSettings;

    /** The file of the settings. */
    private final Path mFile;

    /** The port for callers. */
    private final ListenAddress mCallers;

    /** The link to the store. */
    private final FaultProxy mStoreLink;

    /** When the process or its link to the store was disturbed. */
    private final DisturbanceLog mDisturbances = new DisturbanceLog();

    /** The planned stops. */
    private final ConcurrentLinkedQueue<PlannedStop> mStops = new ConcurrentLinkedQueue<>();

    /** The process; null before the first start. */
    private ManagedProcess mProcess;

    /** The number of faults that keep the process stopped. */
    private int mDown;

    /** The number of changes of the settings so far. */
    private int mChanges;

    /** The number of starts so far. */
    private volatile int mStarts;

    /**
     * Holds a planned stop.
     *
     * @param beginNanos the local monotonic time of the signal
     * @param endNanos the local monotonic time of the end
     * @param exitCode the exit code
     */
    record PlannedStop(long beginNanos, long endNanos, int exitCode) {}

    /**
     * Creates an entry VM.
     *
     * @param name its name
     * @param folder the folder for settings and output
     * @param callers the port for callers
     * @param storeLink the link to the store
     * @param settings the settings
     * @param command the command line without the settings file
     * @throws IOException if the settings cannot be written
     */
    SoakRouter(
            String name,
            Path folder,
            ListenAddress callers,
            FaultProxy storeLink,
            String settings,
            List<String> command)
            throws IOException {
        mName = name;
        mFolder = folder;
        mCallers = callers;
        mStoreLink = storeLink;
        mSettings = settings;
        mFile = folder.resolve(name + ".toml");
        Files.writeString(mFile, settings);
        mCommand = new ArrayList<>(command);
        mCommand.add(mFile.toString());
    }

    /** Starts the process unless a fault keeps it stopped. */
    synchronized void start() {
        if (mDown == 0 && (mProcess == null || !mProcess.alive())) {
            mStarts++;
            mDisturbances.begin().end();
            mProcess = new ManagedProcess(mName, mFolder, mCommand);
        }
    }

    /**
     * Tells whether the process has ended although no fault keeps it stopped.
     *
     * @return true if it has ended unexpectedly
     */
    synchronized boolean endedUnexpectedly() {
        return mDown == 0 && mProcess != null && !mProcess.alive();
    }

    /**
     * Returns the port for callers.
     *
     * @return the address
     */
    ListenAddress callers() {
        return mCallers;
    }

    /**
     * Returns the number of starts so far, which identifies the current process.
     *
     * @return the number
     */
    int starts() {
        return mStarts;
    }

    /**
     * Returns when the process was disturbed.
     *
     * @return the disturbances
     */
    DisturbanceLog disturbances() {
        return mDisturbances;
    }

    /**
     * Returns the planned stops.
     *
     * @return the stops that have ended
     */
    List<PlannedStop> stops() {
        return List.copyOf(mStops);
    }

    /**
     * Freezes the process.
     *
     * @return resumes it
     */
    AutoCloseable pause() {
        DisturbanceLog.Interval interval = mDisturbances.begin();
        signalNow(Signal.STOP);
        return () -> {
            signalNow(Signal.CONT);
            interval.end();
        };
    }

    /**
     * Kills the process.
     *
     * @return starts it again
     */
    AutoCloseable kill() {
        DisturbanceLog.Interval interval = mDisturbances.begin();
        synchronized (this) {
            mDown++;
            if (mProcess.alive()) {
                mProcess.kill();
            }
        }
        return () -> restart(interval);
    }

    /**
     * Stops the process with SIGTERM.
     *
     * @return waits for its end and starts it again
     */
    AutoCloseable stop() {
        DisturbanceLog.Interval interval = mDisturbances.begin();
        ManagedProcess stopped;
        boolean alive;
        synchronized (this) {
            mDown++;
            stopped = mProcess;
            alive = stopped.alive();
            stopped.send(Signal.TERM);
        }
        long begin = System.nanoTime();
        return () -> {
            int code = stopped.awaitExit(STOP_LIMIT);
            if (alive) {
                mStops.add(new PlannedStop(begin, System.nanoTime(), code));
            }
            restart(interval);
        };
    }

    /**
     * Changes the settings of the process and sends it the signal to reload them.
     *
     * @return does nothing
     * @throws IOException if the settings cannot be written
     */
    synchronized AutoCloseable reload() throws IOException {
        Path changed = mFolder.resolve(mName + ".changed");
        String value = CHANGED_SETTING + ++mChanges % 2;
        Files.writeString(changed, mSettings.replace(CHANGED_SETTING + 0, value));
        Files.move(changed, mFile, StandardCopyOption.ATOMIC_MOVE);
        if (mProcess.launched()) {
            mProcess.send(Signal.HUP);
        }
        return () -> {};
    }

    /**
     * Disturbs the link to the store.
     *
     * @param faults the faults of the link
     * @return removes the faults
     */
    AutoCloseable storeLink(LinkFaults faults) {
        DisturbanceLog.Interval interval = mDisturbances.begin();
        mStoreLink.apply(faults);
        return () -> {
            mStoreLink.heal();
            interval.end();
        };
    }

    @Override
    public void close() {
        synchronized (this) {
            mDown++;
            signalNow(Signal.CONT);
            mProcess.close();
        }
        mStoreLink.close();
    }

    /**
     * Sends a signal.
     *
     * @param signal the signal
     */
    private synchronized void signalNow(Signal signal) {
        mProcess.send(signal);
    }

    /**
     * Ends one fault that kept the process stopped.
     *
     * @param interval the disturbance that ends
     */
    private synchronized void restart(DisturbanceLog.Interval interval) {
        mDown--;
        start();
        interval.end();
    }
}
