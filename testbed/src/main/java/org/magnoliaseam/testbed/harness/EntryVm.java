package org.magnoliaseam.testbed.harness;

import com.fasterxml.jackson.databind.JsonNode;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import org.magnoliaseam.testbed.http.ListenAddress;

/** Controls one {@code route} process of a site, which can be stopped and restarted. */
public final class EntryVm implements AutoCloseable {

    /** The longest wait for a process to become ready. */
    private static final Duration READY_TIMEOUT = Duration.ofSeconds(30);

    /** The status of a ready process. */
    private static final int OK = 200;

    /** The name of the VM. */
    private final String mName;

    /** The addresses of the process. */
    private final EntryAddresses mAddresses;

    /** The folder for output. */
    private final Path mFolder;

    /** The command line. */
    private final List<String> mCommand;

    /** The calls to the operators' port. */
    private final HttpCalls mCalls;

    /** The running process. */
    private ManagedProcess mProcess;

    /** The number of starts. */
    private int mStarts;

    /**
     * Starts a process without waiting for it.
     *
     * @param name the name of the VM
     * @param addresses the addresses of the process
     * @param folder the folder for output
     * @param command the command line
     * @param calls the calls to the operators' port
     */
    EntryVm(
            String name,
            EntryAddresses addresses,
            Path folder,
            List<String> command,
            HttpCalls calls) {
        mName = name;
        mAddresses = addresses;
        mFolder = folder;
        mCommand = command;
        mCalls = calls;
        start();
    }

    /**
     * Returns the name of the VM.
     *
     * @return the name
     */
    public String name() {
        return mName;
    }

    /**
     * Returns the callers' port.
     *
     * @return the address
     */
    public ListenAddress callers() {
        return mAddresses.callers();
    }

    /**
     * Returns the operators' port.
     *
     * @return the address
     */
    public ListenAddress operators() {
        return mAddresses.operators();
    }

    /**
     * Returns the peer port.
     *
     * @return the address
     */
    public ListenAddress peers() {
        return mAddresses.peers();
    }

    /**
     * Returns the running process.
     *
     * @return the process
     */
    public ManagedProcess process() {
        return mProcess;
    }

    /** Starts a new process on the same addresses without waiting for it. */
    public void start() {
        mStarts++;
        mProcess = new ManagedProcess(mName + "." + mStarts, mFolder, mCommand);
    }

    /**
     * Tells whether the process is ready for callers.
     *
     * @return whether the readiness endpoint answers with status 200
     */
    public boolean ready() {
        return mCalls.status(operators(), "/readyz") == OK;
    }

    /**
     * Waits until the process is ready for callers.
     *
     * @throws IllegalStateException if it ends or does not become ready in time
     */
    public void awaitReady() {
        long deadline = System.nanoTime() + READY_TIMEOUT.toNanos();
        while (!ready()) {
            if (!mProcess.alive() || System.nanoTime() > deadline) {
                throw new IllegalStateException(mName + " is not ready: " + mProcess.output());
            }
            ManagedProcess.pause();
        }
    }

    /**
     * Gets a value from the operators' port.
     *
     * @param path the path with its query
     * @return the value
     */
    public JsonNode get(String path) {
        return mCalls.get(operators(), path);
    }

    @Override
    public void close() {
        mProcess.close();
    }
}
