package org.magnoliaseam.gateway;

import org.magnoliaseam.time.MonotonicClock;

/**
 * Identifies the backend server that a request waits for while others have room. Thread-safe;
 * guarded by the lock of the server pool.
 */
final class WantedServer {

    /** The server pool, whose lock guards the backend servers. */
    private final ServerPool mPool;

    /** The backend servers. */
    private final ServerRegistry mServers;

    /** The backend server. */
    private final BackendServerState mState;

    /** The clock. */
    private final MonotonicClock mClock;

    /**
     * Creates a reference to a backend server.
     *
     * @param pool the server pool, whose lock guards the backend servers
     * @param servers the backend servers
     * @param state the backend server
     * @param clock the clock
     */
    WantedServer(
            ServerPool pool,
            ServerRegistry servers,
            BackendServerState state,
            MonotonicClock clock) {
        mPool = pool;
        mServers = servers;
        mState = state;
        mClock = clock;
    }

    /**
     * Tells whether the backend server is as unavailable as before, so that a further choice would
     * most likely have the same result. The cost does not depend on the number of backend servers.
     *
     * @param request the request that waits
     * @return false if it has room, is ejected or is no longer in service
     */
    boolean isStillFull(GatewayRequest request) {
        synchronized (mPool) {
            long now = mClock.nanos();
            return mServers.isInService(mState, request.service().name())
                    && !mState.failures().ejected(mState.active(), now)
                    && !ServerRoom.hasRoom(request, mState, now);
        }
    }
}
