package org.magnoliaseam.gateway;

import org.magnoliaseam.catalog.EngineCapacity;
import org.magnoliaseam.catalog.ServerEntry;
import org.magnoliaseam.membership.StableHash;
import org.magnoliaseam.model.BackendServerId;
import org.magnoliaseam.model.RequestId;
import org.magnoliaseam.placement.StatedLoad;
import org.magnoliaseam.pushback.ServerPushback;

/**
 * Holds the state of one backend server as seen by this entry VM. Guarded by the lock of the server
 * pool.
 */
final class BackendServerState {

    /** The time for which a reported load is valid, in nanoseconds. */
    private static final long LOAD_VALID_NANOS = 1_000_000_000L;

    /** The shortest time between two log lines on faulty notices, in nanoseconds. */
    private static final long FAULT_LOG_NANOS = 60_000_000_000L;

    /** The assumed memory of an engine in tokens, before the first request states it. */
    private static final long INITIAL_MEMORY_TOKENS = 100_000;

    /** The estimated prompt cache of the backend server. */
    private final PromptCacheEstimate mPromptCache = new PromptCacheEstimate();

    /** The results of recent attempts. */
    private final FailureHistory mFailures = new FailureHistory();

    /** The cold start. */
    private final ColdStart mColdStart;

    /** The hash of the id, which places the backend server in an order that all entry VMs share. */
    private final long mHash;

    /** The position among the engines of its service in the order that all entry VMs share. */
    private int mPosition;

    /** The times for which it wants no requests. */
    private final ServerPushback mPushback = new ServerPushback();

    /** What it stated about its load as a plain server. */
    private final StatedLoad mStated = new StatedLoad();

    /** The local monotonic time of the last log line on a faulty notice. */
    private long mFaultLoggedNanos;

    /** The published entry of the backend server. */
    private ServerEntry mEntry;

    /** The attempts of this entry VM in progress there. */
    private int mRunning;

    /** The prompt tokens of this entry VM that wait to be processed there. */
    private long mPendingTokens;

    /** The memory of the engine in tokens. */
    private long mMemoryTokens = INITIAL_MEMORY_TOKENS;

    /** The load that the backend server reported last. */
    private ReportedLoad mLoad = new ReportedLoad(0, 0, 0);

    /** The local monotonic time of the reported load. */
    private long mLoadNanos;

    /** Whether it has stopped sending. */
    private final ServerSilence mSilence;

    /** What the home of the engine answered. */
    private final EngineBacklog mBacklog;

    /** Predicts the times of work there. */
    private final ServerTimes mTimes;

    /**
     * Creates the state of a newly published backend server.
     *
     * @param entry the published entry
     * @param times the usual times of the service
     * @param nowNanos the local monotonic time
     */
    BackendServerState(ServerEntry entry, ServiceTimes times, long nowNanos) {
        mEntry = entry;
        mHash = StableHash.of(entry.id().value(), 0);
        mTimes = new ServerTimes(times, mHash, nowNanos);
        mLoadNanos = nowNanos - LOAD_VALID_NANOS;
        mFaultLoggedNanos = nowNanos - FAULT_LOG_NANOS;
        mSilence = new ServerSilence(nowNanos);
        mBacklog = new EngineBacklog(nowNanos);
        mColdStart = new ColdStart(entry, nowNanos);
    }

    /**
     * Updates the published entry of the backend server.
     *
     * @param entry the new entry
     * @param nowNanos the local monotonic time
     */
    void update(ServerEntry entry, long nowNanos) {
        mEntry = entry;
        if (entry.coldMillis() > 0) {
            mColdStart.lasts(entry.coldMillis(), nowNanos);
        }
    }

    /**
     * Returns the id of the backend server.
     *
     * @return the id
     */
    BackendServerId id() {
        return mEntry.id();
    }

    /**
     * Returns the hash of the id.
     *
     * @return the hash, which is the same at all entry VMs
     */
    long hash() {
        return mHash;
    }

    /**
     * Sets the position among the engines of its service.
     *
     * @param position the position in the order that all entry VMs share, from 0
     */
    void place(int position) {
        mPosition = position;
    }

    /**
     * Returns the position among the engines of its service.
     *
     * @return the position in the order that all entry VMs share, from 0
     */
    int position() {
        return mPosition;
    }

    /**
     * Draws a number that places the backend server in an order, another one each time.
     *
     * @param request the request to order the backend servers for
     * @param nowNanos the local monotonic time
     * @return the number
     */
    long draw(RequestId request, long nowNanos) {
        return StableHash.mix(mHash ^ StableHash.of(request.value() + nowNanos, 0));
    }

    /**
     * Returns the published entry.
     *
     * @return the entry
     */
    ServerEntry entry() {
        return mEntry;
    }

    /**
     * Returns the results of recent attempts.
     *
     * @return the history
     */
    FailureHistory failures() {
        return mFailures;
    }

    /**
     * Returns the cold start.
     *
     * @return the cold start
     */
    ColdStart coldStart() {
        return mColdStart;
    }

    /**
     * Returns the times for which it wants no requests.
     *
     * @return the times
     */
    ServerPushback pushback() {
        return mPushback;
    }

    /**
     * Returns what it stated about its load as a plain server.
     *
     * @return its statements
     */
    StatedLoad stated() {
        return mStated;
    }

    /**
     * Records that a faulty notice is logged.
     *
     * @param nowNanos the local monotonic time
     * @return false if there was a log line on one in the last minute
     */
    boolean logsFault(long nowNanos) {
        boolean logs = nowNanos - mFaultLoggedNanos >= FAULT_LOG_NANOS;
        if (logs) {
            mFaultLoggedNanos = nowNanos;
        }
        return logs;
    }

    /**
     * Counts an attempt that starts.
     *
     * @param request the request
     * @param shares divides the cold start limit of the backend server over the entry VMs
     * @param tokens the prompt tokens that the backend server has to process for it
     * @param nowNanos the local monotonic time
     */
    void start(GatewayRequest request, VmShares shares, long tokens, long nowNanos) {
        mColdStart.started(request.service(), shares, nowNanos);
        mSilence.started(nowNanos);
        mRunning++;
        mPendingTokens += tokens;
    }

    /**
     * Records that a request was sent, after which its prompt will be cached there.
     *
     * @param request the request
     */
    void sent(GatewayRequest request) {
        mMemoryTokens = request.service().engine().map(EngineCapacity::memoryTokens).orElse(0L);
        for (PromptPart part : request.prompt().parts()) {
            mPromptCache.use(part.id(), part.tokens(), mMemoryTokens);
        }
    }

    /**
     * Records that the prompt of an attempt no longer waits to be processed.
     *
     * @param tokens the number of tokens that {@link #start} returned
     */
    void promptProcessed(long tokens) {
        mPendingTokens -= tokens;
    }

    /** Counts an attempt that ended. */
    void end() {
        mRunning--;
    }

    /**
     * Records a prompt part that another entry VM sent to the backend server.
     *
     * @param part the id of the part
     * @param tokens its length in tokens
     */
    void recordPeerPart(String part, int tokens) {
        mPromptCache.use(part, tokens, mMemoryTokens);
    }

    /**
     * Returns what predicts the times of work there.
     *
     * @return the times
     */
    ServerTimes times() {
        return mTimes;
    }

    /**
     * Records the time of an answer of a plain service.
     *
     * @param millis the time in milliseconds
     * @param nowNanos the local monotonic time
     */
    void answerMeasured(double millis, long nowNanos) {
        boolean valid = nowNanos - mLoadNanos < LOAD_VALID_NANOS;
        double queue = valid ? 1 + mLoad.waiting() / (double) Math.max(1, mLoad.slots()) : 1;
        mTimes.answerMeasured(millis, queue, nowNanos);
    }

    /**
     * Records the load that the backend server reports.
     *
     * @param load the load
     * @param nowNanos the local monotonic time
     */
    void load(ReportedLoad load, long nowNanos) {
        mLoad = load;
        mLoadNanos = nowNanos;
        mStated.reported(load.running() + load.waiting(), mRunning, nowNanos);
    }

    /**
     * Tells whether the backend server reports how long work takes there.
     *
     * @return true once it has reported a factor
     */
    boolean reportsFactor() {
        return mTimes.hasFactors();
    }

    /**
     * Returns the tokens of a prompt that the backend server has to process.
     *
     * @param prompt the prompt
     * @return the number of tokens from the first uncached part on
     */
    long uncachedTokens(Prompt prompt) {
        return mPromptCache.uncachedTokens(prompt);
    }

    /**
     * Returns whether it has stopped sending.
     *
     * @return its silence
     */
    ServerSilence silence() {
        return mSilence;
    }

    /**
     * Returns the attempts of this entry VM in progress there.
     *
     * @return the number of attempts
     */
    int running() {
        return mRunning;
    }

    /**
     * Returns the attempts of this entry VM in progress there that are not known to be silent.
     *
     * @return the number of attempts
     */
    int active() {
        return mRunning - mSilence.attempts();
    }

    /**
     * Returns the prompt tokens of this entry VM that wait to be processed.
     *
     * @return the tokens
     */
    long pendingTokens() {
        return mPendingTokens;
    }

    /**
     * Estimates the requests of all entry VMs that run or wait there.
     *
     * @param peerLoads the load of the other entry VMs at the backend servers
     * @param nowNanos the local monotonic time
     * @return the larger of the known attempts and the reported load, if that is valid
     */
    int occupied(PeerLoads peerLoads, long nowNanos) {
        int known = mRunning + peerLoads.running(id());
        boolean valid = nowNanos - mLoadNanos < LOAD_VALID_NANOS;
        return valid ? Math.max(known, mLoad.running() + mLoad.waiting()) : known;
    }

    /**
     * Returns what the home of the engine answered.
     *
     * @return the backlog
     */
    EngineBacklog backlog() {
        return mBacklog;
    }

    /**
     * Estimates the prompt tokens of all entry VMs that wait to be processed.
     *
     * @param peerLoads the load of the other entry VMs at the backend servers
     * @param nowNanos the local monotonic time
     * @return the counted tokens while they are valid; what the entry VMs reported otherwise
     */
    long waitingTokens(PeerLoads peerLoads, long nowNanos) {
        return mBacklog.isValid(nowNanos)
                ? countedTokens(nowNanos)
                : mPendingTokens + peerLoads.pendingTokens(id());
    }

    /**
     * Estimates the prompt tokens that wait to be processed, without the reports of other entry
     * VMs, which are too old to keep a request waiting for.
     *
     * @param nowNanos the local monotonic time
     * @return the last counted backlog less what has been processed since, while it is valid; the
     *     tokens of this entry VM otherwise
     */
    long countedTokens(long nowNanos) {
        return Math.max(mPendingTokens, mBacklog.tokens(mTimes.tokensPerMilli(nowNanos), nowNanos));
    }
}
