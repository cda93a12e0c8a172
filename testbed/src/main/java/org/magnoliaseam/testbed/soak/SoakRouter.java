package org.magnoliaseam.testbed.soak;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
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

    /** The grace of the settings and a margin. */
    private static final Duration STOP_LIMIT = Duration.ofSeconds(12);

    /** The time in which a process cannot take signals to reload, since its runtime starts. */
    private static final long STARTING_NANOS = 2_000_000_000L;

    /** The name of the VM. */
    private final String mName;

    /** The command line of the router. */
    private final List<String> mCommand;

    /** The folder for settings and output. */
    private final Path mFolder;

    /** The port for callers. */
    private final ListenAddress mCallers;

    /** The link to the store. */
    private final FaultProxy mStoreLink;

    /** When the process or its link to the store was disturbed. */
    private final Disturbances mDisturbances = new Disturbances();

    /** The planned stops. */
    private final ConcurrentLinkedQueue<PlannedStop> mStops = new ConcurrentLinkedQueue<>();

    /** The process; null before the first start. */
    private ManagedProcess mProcess;

    /** The faults that keep the process down. */
    private int mDown;

    /** The local monotonic time of the last start. */
    private long mStartedNanos;

    /** The starts so far. */
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
        Path file = folder.resolve(name + ".toml");
        Files.writeString(file, settings);
        mCommand = new ArrayList<>(command);
        mCommand.add(file.toString());
    }

    /** Starts the process unless a fault keeps it down. */
    synchronized void start() {
        if (mDown == 0 && (mProcess == null || !mProcess.alive())) {
            mStarts++;
            mStartedNanos = System.nanoTime();
            mProcess = new ManagedProcess(mName, mFolder, mCommand);
        }
    }

    /**
     * Tells whether the process has ended though no fault keeps it down.
     *
     * @return true if it has ended by itself
     */
    synchronized boolean endedByItself() {
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
     * Returns the starts so far, which name the process that answers.
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
    Disturbances disturbances() {
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
     * @return wakes it
     */
    AutoCloseable pause() {
        Disturbances.Span span = mDisturbances.begin();
        signalNow(Signal.STOP);
        return () -> {
            signalNow(Signal.CONT);
            span.end();
        };
    }

    /**
     * Kills the process.
     *
     * @return starts it again
     */
    AutoCloseable kill() {
        Disturbances.Span span = mDisturbances.begin();
        synchronized (this) {
            mDown++;
            if (mProcess.alive()) {
                mProcess.kill();
            }
        }
        return () -> restart(span);
    }

    /**
     * Asks the process to end.
     *
     * @return waits for its end and starts it again
     */
    AutoCloseable stop() {
        Disturbances.Span span = mDisturbances.begin();
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
            restart(span);
        };
    }

    /**
     * Lets a process that has started read its settings again. Before that the signal would end the
     * Java runtime, which has no handler yet.
     *
     * @return does nothing
     */
    synchronized AutoCloseable reload() {
        if (System.nanoTime() - mStartedNanos > STARTING_NANOS) {
            mProcess.send(Signal.HUP);
        }
        return () -> {};
    }

    /**
     * Disturbs the link to the store.
     *
     * @param faults the faults of the link
     * @return heals it
     */
    AutoCloseable storeLink(LinkFaults faults) {
        Disturbances.Span span = mDisturbances.begin();
        mStoreLink.apply(faults);
        return () -> {
            mStoreLink.heal();
            span.end();
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
     * Takes one fault away that kept the process down.
     *
     * @param span the disturbance that ends
     */
    private synchronized void restart(Disturbances.Span span) {
        mDown--;
        start();
        span.end();
    }
}
