package org.magnoliaseam.gateway;

import org.magnoliaseam.catalog.EngineCapacity;
import org.magnoliaseam.catalog.ServerEntry;
import org.magnoliaseam.catalog.Service;
import org.magnoliaseam.model.BackendServerId;

/** Holds what this entry VM knows about one backend server. Guarded by the server board. */
final class ServerState {

    /** The age up to which a stated load counts, in nanoseconds. */
    private static final long LOAD_VALID_NANOS = 1_000_000_000L;

    /** The prompt tokens that an engine reads in a millisecond until measured. */
    private static final double INITIAL_TOKENS_PER_MILLI = 40;

    /** The memory of an engine in tokens until a request has named it. */
    private static final long INITIAL_MEMORY_TOKENS = 100_000;

    /** The weight of the latest measurement of the reading speed. */
    private static final double SPEED_WEIGHT = 0.1;

    /** The smallest number of tokens that tells the reading speed. */
    private static final int SPEED_TOKENS = 1000;

    /** The prompt parts that the backend server keeps. */
    private final PromptMemory mParts = new PromptMemory();

    /** How the tries ended. */
    private final FailureHistory mFailures = new FailureHistory();

    /** Limits the requests during a cold start. */
    private final ColdAllowance mCold;

    /** What is published about the backend server. */
    private ServerEntry mEntry;

    /** The tries of this entry VM that run there. */
    private int mRunning;

    /** The prompt tokens that this entry VM waits for to be read there. */
    private long mPendingTokens;

    /** The memory of the engine in tokens, once a request has named it. */
    private long mMemoryTokens = INITIAL_MEMORY_TOKENS;

    /** The local monotonic time at which the cold start ends. */
    private long mColdUntilNanos;

    /** The load that the backend server stated last. */
    private ReportedLoad mLoad = new ReportedLoad(0, 0, 0);

    /** The local monotonic time of the stated load. */
    private long mLoadNanos;

    /** The measured reading speed in tokens a millisecond. */
    private double mTokensPerMilli = INITIAL_TOKENS_PER_MILLI;

    /**
     * Creates the state of a backend server that was published just now.
     *
     * @param entry what is published
     * @param nowNanos the local monotonic time
     */
    ServerState(ServerEntry entry, long nowNanos) {
        mEntry = entry;
        mCold = new ColdAllowance(nowNanos);
        mLoadNanos = nowNanos - LOAD_VALID_NANOS;
        mColdUntilNanos = nowNanos + entry.coldMillis() * 1_000_000L;
    }

    /**
     * Takes a newer publication of the backend server.
     *
     * @param entry what is published now
     * @param nowNanos the local monotonic time
     */
    void update(ServerEntry entry, long nowNanos) {
        if (entry.startMark() != mEntry.startMark()) {
            mParts.clear();
        }
        mEntry = entry;
        if (entry.coldMillis() > 0) {
            coldFor(entry.coldMillis(), nowNanos);
        }
    }

    /**
     * Notes that the backend server is in cold start.
     *
     * @param millis how much longer, in milliseconds
     * @param nowNanos the local monotonic time
     */
    void coldFor(long millis, long nowNanos) {
        long until = nowNanos + millis * 1_000_000L;
        if (until - mColdUntilNanos > 0) {
            mColdUntilNanos = until;
        }
    }

    /**
     * Returns the backend server.
     *
     * @return its id
     */
    BackendServerId id() {
        return mEntry.id();
    }

    /**
     * Returns what is published.
     *
     * @return the entry
     */
    ServerEntry entry() {
        return mEntry;
    }

    /**
     * Returns how the tries ended.
     *
     * @return the history
     */
    FailureHistory failures() {
        return mFailures;
    }

    /**
     * Tells whether a cold start leaves room for one more request.
     *
     * @param service the service
     * @param shares divides what the backend server bears
     * @param nowNanos the local monotonic time
     * @return true if the backend server is warm or its limit is not reached
     */
    boolean bears(Service service, VmShares shares, long nowNanos) {
        return !cold(service, nowNanos)
                || mCold.available(shares.coldPerSecond(service, id()), nowNanos);
    }

    /**
     * Tells whether the backend server is in a cold start that limits its requests.
     *
     * @param service the service
     * @param nowNanos the local monotonic time
     * @return true during a cold start
     */
    boolean cold(Service service, long nowNanos) {
        return service.coldPerSecond() > 0 && nowNanos - mColdUntilNanos < 0;
    }

    /**
     * Counts a try that starts.
     *
     * @param request the request
     * @param shares divides what the backend server bears in cold start
     * @param nowNanos the local monotonic time
     * @return the prompt tokens that the backend server has to read for it
     */
    long start(GatewayRequest request, VmShares shares, long nowNanos) {
        if (cold(request.service(), nowNanos)) {
            mCold.take(shares.coldPerSecond(request.service(), id()), nowNanos);
        }
        long tokens = unreadTokens(request.prompt());
        mRunning++;
        mPendingTokens += tokens;
        mMemoryTokens = request.service().engine().map(EngineCapacity::memoryTokens).orElse(0L);
        for (PromptPart part : request.prompt().parts()) {
            mParts.use(part.id(), part.tokens(), mMemoryTokens);
        }
        return tokens;
    }

    /**
     * Notes that the prompt of a try has been read.
     *
     * @param tokens the tokens that {@link #start} returned
     */
    void read(long tokens) {
        mPendingTokens -= tokens;
    }

    /** Counts a try that ended. */
    void end() {
        mRunning--;
    }

    /**
     * Notes a prompt part that another entry VM sent.
     *
     * @param part the part
     * @param tokens its length in tokens
     */
    void foreignRead(String part, int tokens) {
        mParts.use(part, tokens, mMemoryTokens);
    }

    /**
     * Takes a measured time to the first event.
     *
     * @param tokens the tokens that were read for it while nothing else waited
     * @param millis the time in milliseconds
     */
    void measured(long tokens, double millis) {
        if (tokens >= SPEED_TOKENS && millis > 0) {
            double speed = tokens / millis;
            mTokensPerMilli += SPEED_WEIGHT * (speed - mTokensPerMilli);
        }
    }

    /**
     * Takes the load that the backend server states.
     *
     * @param load the load
     * @param nowNanos the local monotonic time
     */
    void load(ReportedLoad load, long nowNanos) {
        mLoad = load;
        mLoadNanos = nowNanos;
    }

    /**
     * Returns the tokens of a prompt that the backend server has not read yet.
     *
     * @param prompt the prompt
     * @return the tokens from the first part on that it does not keep
     */
    long unreadTokens(Prompt prompt) {
        return mParts.unread(prompt);
    }

    /**
     * Returns the tries of this entry VM.
     *
     * @return the number that runs there
     */
    int running() {
        return mRunning;
    }

    /**
     * Returns the prompt tokens that this entry VM waits for.
     *
     * @return the tokens
     */
    long pendingTokens() {
        return mPendingTokens;
    }

    /**
     * Estimates the requests of all entry VMs.
     *
     * @param foreign what the other entry VMs have running
     * @param nowNanos the local monotonic time
     * @return the larger of the known tries and the stated load
     */
    int occupied(ForeignLoads foreign, long nowNanos) {
        int known = mRunning + foreign.running(id());
        boolean valid = nowNanos - mLoadNanos < LOAD_VALID_NANOS;
        return valid ? Math.max(known, mLoad.running() + mLoad.waiting()) : known;
    }

    /**
     * Returns the prompt tokens that all entry VMs wait for.
     *
     * @param foreign what the other entry VMs have running
     * @return the tokens
     */
    long waitingTokens(ForeignLoads foreign) {
        return mPendingTokens + foreign.pendingTokens(id());
    }

    /**
     * Predicts how long the backend server reads a number of prompt tokens.
     *
     * @param tokens the tokens
     * @return the time in milliseconds
     */
    double readMillis(long tokens) {
        return tokens / mTokensPerMilli;
    }
}
