package org.magnoliaseam.testbed.harness;

import java.io.File;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;

/** Controls one started process whose output goes to a file. */
public final class ManagedProcess implements AutoCloseable {

    /** The prefix of the line that a stand-in prints when it listens. */
    private static final String READY = "ready ";

    /** The interval between two checks while waiting, in milliseconds. */
    private static final long POLL_INTERVAL_MILLIS = 10;

    /**
     * The time after SIGTERM at which a process is killed, also the longest wait for a killed one.
     */
    private static final Duration STOP_TIMEOUT = Duration.ofSeconds(5);

    /** The processes that are killed when this one ends. */
    private static final Set<Process> CHILDREN = ConcurrentHashMap.newKeySet();

    static {
        Runtime.getRuntime()
                .addShutdownHook(new Thread(() -> CHILDREN.forEach(Process::destroyForcibly)));
    }

    /** The name of the process in messages. */
    private final String mName;

    /** The file that gets the output. */
    private final Path mOutput;

    /** The process. */
    private final Process mProcess;

    /**
     * Starts a process.
     *
     * @param name the name in messages
     * @param folder the working folder, which also gets the output
     * @param command the command line
     * @throws UncheckedIOException if the process cannot be started
     */
    public ManagedProcess(String name, Path folder, List<String> command) {
        mName = name;
        mOutput = folder.resolve(name + ".out");
        try {
            mProcess =
                    new ProcessBuilder(command)
                            .directory(folder.toFile())
                            .redirectErrorStream(true)
                            .redirectInput(new File("/dev/null"))
                            .redirectOutput(ProcessBuilder.Redirect.appendTo(mOutput.toFile()))
                            .start();
            CHILDREN.add(mProcess);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** Keeps all processes that were started so far running after this one ends. */
    public static void keepAll() {
        CHILDREN.clear();
    }

    /**
     * Waits until a stand-in listens.
     *
     * @param timeout the longest wait
     * @return this process
     * @throws IllegalStateException if the process ends or does not listen in time
     */
    public ManagedProcess awaitReady(Duration timeout) {
        long deadline = System.nanoTime() + timeout.toNanos();
        while (!output().lines().anyMatch(line -> line.startsWith(READY))) {
            if (!alive() || System.nanoTime() > deadline) {
                throw new IllegalStateException(mName + " is not ready: " + output());
            }
            pause();
        }
        return this;
    }

    /**
     * Returns what the process has printed.
     *
     * @return the output so far
     * @throws UncheckedIOException if the output cannot be read
     */
    public String output() {
        try {
            return Files.readString(mOutput);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /**
     * Returns the identifier of the process.
     *
     * @return the identifier
     */
    public long pid() {
        return mProcess.pid();
    }

    /**
     * Tells whether the process is running.
     *
     * @return whether it is running
     */
    public boolean alive() {
        return mProcess.isAlive();
    }

    /**
     * Tells whether the shell that launches a Java program has been replaced by it.
     *
     * @return whether the process runs Java
     */
    public boolean launched() {
        return mProcess.info().command().filter(path -> path.endsWith("/java")).isPresent();
    }

    /**
     * Sends a signal unless the process has ended.
     *
     * @param signal the signal
     * @throws UncheckedIOException if the signal cannot be sent
     */
    public void send(Signal signal) {
        if (!alive()) {
            return;
        }
        try {
            new ProcessBuilder("kill", "-" + signal.name(), Long.toString(pid()))
                    .redirectError(ProcessBuilder.Redirect.DISCARD)
                    .start()
                    .waitFor();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /**
     * Waits until the process ends.
     *
     * @param timeout the longest wait
     * @return the exit code
     * @throws IllegalStateException if the process does not end in time
     */
    public int awaitExit(Duration timeout) {
        try {
            if (mProcess.waitFor(timeout.toMillis(), TimeUnit.MILLISECONDS)) {
                return mProcess.exitValue();
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        throw new IllegalStateException(mName + " has not ended");
    }

    /** Kills the process and waits for its end. */
    public void kill() {
        send(Signal.KILL);
        awaitExit(STOP_TIMEOUT);
    }

    /** Sends SIGTERM, and kills the process if it does not end in time. */
    @Override
    public void close() {
        send(Signal.CONT);
        send(Signal.TERM);
        try {
            awaitExit(STOP_TIMEOUT);
        } catch (IllegalStateException e) {
            kill();
        }
    }

    /** Waits for one poll interval. */
    static void pause() {
        try {
            TimeUnit.MILLISECONDS.sleep(POLL_INTERVAL_MILLIS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IllegalStateException(e);
        }
    }
}
