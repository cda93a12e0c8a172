package org.magnoliaseam.testbed.harness;

import com.fasterxml.jackson.databind.JsonNode;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.function.Function;
import org.magnoliaseam.testbed.http.ListenAddress;

/** Controls one stand-in process of a site, which can be stopped and restarted. */
public final class BackendMember implements AutoCloseable {

    /** The longest wait for a stand-in to listen. */
    private static final Duration READY_TIMEOUT = Duration.ofSeconds(20);

    /** The path that changes the behaviour of a stand-in. */
    private static final String CONTROL = "/test/control";

    /** The name of the member. */
    private final String mName;

    /** The address that the stand-in listens on. */
    private final ListenAddress mAddress;

    /** Starts the process. */
    private final Function<String, ManagedProcess> mStarter;

    /** The calls to the stand-in. */
    private final HttpCalls mCalls;

    /** The running process. */
    private ManagedProcess mProcess;

    /** The number of starts. */
    private int mStarts;

    /**
     * Starts a stand-in without waiting for it.
     *
     * @param name the name of the member
     * @param address the address to listen on
     * @param folder the folder for output
     * @param command the command line
     * @param calls the calls to the stand-in
     */
    BackendMember(
            String name,
            ListenAddress address,
            Path folder,
            List<String> command,
            HttpCalls calls) {
        mName = name;
        mAddress = address;
        mStarter = run -> new ManagedProcess(run, folder, command);
        mCalls = calls;
        mProcess = start();
    }

    /**
     * Returns the name of the member.
     *
     * @return the name
     */
    public String name() {
        return mName;
    }

    /**
     * Returns the address that the stand-in listens on.
     *
     * @return the address
     */
    public ListenAddress address() {
        return mAddress;
    }

    /**
     * Returns the running process.
     *
     * @return the process
     */
    public ManagedProcess process() {
        return mProcess;
    }

    /** Waits until the stand-in listens. */
    public void awaitReady() {
        mProcess.awaitReady(READY_TIMEOUT);
    }

    /** Kills the process, if it is running, and starts a new one on the same address. */
    public void restart() {
        mProcess.kill();
        mProcess = start();
        awaitReady();
    }

    /**
     * Changes the behaviour of the stand-in.
     *
     * @param json the change in the format of the stand-in
     */
    public void control(String json) {
        mCalls.postText(mAddress, CONTROL, json);
    }

    /**
     * Gets a value from the stand-in.
     *
     * @param path the path with its query
     * @return the value
     */
    public JsonNode get(String path) {
        return mCalls.get(mAddress, path);
    }

    /**
     * Gets the counts of an engine or a platform.
     *
     * @return the counts
     */
    public JsonNode stats() {
        return get("/test/stats");
    }

    /**
     * Gets the number of requests that an engine has accepted since a point in time.
     *
     * @param epochMillis the point in time in milliseconds since the epoch
     * @return the number
     */
    public int startsSince(long epochMillis) {
        return get("/test/starts?sinceMillis=" + epochMillis).size();
    }

    /**
     * Gets the number of times that a ledger has run an order.
     *
     * @param key the key of the order
     * @return the number of runs
     */
    public int runs(String key) {
        for (JsonNode run : get("/test/runs").path("runs")) {
            if (run.path("key").asText().equals(key)) {
                return run.path("count").asInt();
            }
        }
        return 0;
    }

    @Override
    public void close() {
        mProcess.close();
    }

    /**
     * Starts the process.
     *
     * @return the process
     */
    private ManagedProcess start() {
        mStarts++;
        return mStarter.apply(mName + "." + mStarts);
    }
}
