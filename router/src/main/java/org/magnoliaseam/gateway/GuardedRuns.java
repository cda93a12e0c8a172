package org.magnoliaseam.gateway;

import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.magnoliaseam.model.BackendServerId;
import org.magnoliaseam.model.RequestId;
import org.magnoliaseam.suspect.RequestMark;

/**
 * Keeps guarded attempts apart: at most one at each backend server, and none beside another one of
 * this entry VM with a mark in common. Not thread-safe.
 */
final class GuardedRuns {

    /**
     * The time for which a backend server gets no guarded request after another entry VM had one
     * there, in nanoseconds.
     */
    private static final long BUSY_NANOS = TimeUnit.MILLISECONDS.toNanos(50);

    /**
     * Holds a guarded attempt in progress.
     *
     * @param request the request
     * @param marks its marks that are guarded
     * @param trial whether such requests are refused, and this one is a trial
     */
    private record GuardedRun(RequestId request, Set<RequestMark> marks, boolean trial) {}

    /** The guarded attempts in progress, by backend server. */
    private final Map<BackendServerId, GuardedRun> mRunning = new HashMap<>();

    /** The local monotonic time before which a backend server gets no guarded request. */
    private final Map<BackendServerId, Long> mNotBefore = new HashMap<>();

    /**
     * Selects the backend servers that may get a guarded request: those that run no other one, as
     * far as is known, and none while a request of this entry VM with a mark in common runs.
     *
     * @param request the request
     * @param marks its marks
     * @param candidates the backend servers with a free slot
     * @param now the local monotonic time
     * @return the backend servers with room, in random order
     */
    List<BackendServerState> isolated(
            GatewayRequest request,
            Set<RequestMark> marks,
            List<BackendServerState> candidates,
            long now) {
        boolean runs =
                mRunning.values().stream()
                        .anyMatch(run -> !Collections.disjoint(run.marks(), marks));
        mNotBefore.values().removeIf(until -> now - until >= 0);
        return runs
                ? List.of()
                : candidates.stream()
                        .filter(state -> !mRunning.containsKey(state.id()))
                        .filter(state -> !mNotBefore.containsKey(state.id()))
                        .filter(state -> ServerRoom.hasRoom(request, state, now))
                        .sorted(Comparator.comparingLong(state -> state.draw(request.id(), now)))
                        .toList();
    }

    /**
     * Records that a backend server may not get a guarded request for a moment.
     *
     * @param server the backend server
     * @param now the local monotonic time
     */
    void busy(BackendServerId server, long now) {
        mNotBefore.put(server, now + BUSY_NANOS);
    }

    /**
     * Records the start of a guarded attempt.
     *
     * @param server the backend server
     * @param request the request
     * @param marks its marks that are guarded
     */
    void started(BackendServerId server, RequestId request, Set<RequestMark> marks) {
        mRunning.put(server, new GuardedRun(request, marks, false));
    }

    /**
     * Records that a guarded attempt is sent though such requests are refused.
     *
     * @param server the backend server
     */
    void tried(BackendServerId server) {
        mRunning.computeIfPresent(
                server, (id, run) -> new GuardedRun(run.request(), run.marks(), true));
    }

    /**
     * Tells whether a request is in progress as a trial.
     *
     * @param request the request
     * @return true if it runs though such requests are refused
     */
    boolean isTrial(RequestId request) {
        return mRunning.values().stream()
                .anyMatch(run -> run.trial() && run.request().equals(request));
    }

    /**
     * Returns the guarded marks of the attempt at a backend server.
     *
     * @param server the backend server
     * @return the marks; empty if no guarded attempt is in progress there
     */
    Set<RequestMark> marksAt(BackendServerId server) {
        GuardedRun run = mRunning.get(server);
        return run == null ? Set.of() : run.marks();
    }

    /**
     * Records the end of a guarded attempt, or that it no longer keeps others waiting.
     *
     * @param server the backend server
     */
    void ended(BackendServerId server) {
        mRunning.remove(server);
    }
}
