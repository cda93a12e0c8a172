package org.magnoliaseam.gateway;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.magnoliaseam.error.ErrorKind;
import org.magnoliaseam.model.BackendServerId;
import org.magnoliaseam.model.ServiceName;
import org.magnoliaseam.permit.SlotRule;

/**
 * Selects the backend servers that may run a request, by slots, cold starts, ejections and the
 * times for which they want no requests. Guarded by the lock of the server pool.
 */
final class ServerCandidates {

    /** Logs changes of the rules that apply to a service. */
    private static final Logger LOG = LogManager.getLogger("board");

    /** The plain services whose slots the entry VMs outnumber. */
    private final Set<ServiceName> mCrowded = new HashSet<>();

    /** Decides which backend servers have room. */
    private final ServerRoom mRoom;

    /** Divides limits that apply to all entry VMs together. */
    private final VmShares mShares;

    /**
     * Creates the selection.
     *
     * @param room decides which backend servers have room
     * @param shares divides limits that apply to all entry VMs together
     */
    ServerCandidates(ServerRoom room, VmShares shares) {
        mRoom = room;
        mShares = shares;
    }

    /**
     * Selects the backend servers that may run a request now. Ejected and silent ones are used only
     * if there is no other that will take the request before its deadline.
     *
     * @param request the request
     * @param present the backend servers of the service that are in service
     * @param excluded the backend servers that get no further attempt of the request
     * @param now the local monotonic time
     * @return the backend servers that have a free slot
     */
    List<BackendServerState> of(
            GatewayRequest request,
            List<BackendServerState> present,
            Set<BackendServerId> excluded,
            long now) {
        List<BackendServerState> healthy = new ArrayList<>(present.size());
        List<BackendServerState> ejected = new ArrayList<>();
        boolean anyHealthy = false;
        boolean crowded = isCrowded(request, present);
        for (BackendServerState state : present) {
            if (excluded.contains(state.id())
                    || !state.coldStart().admits(request.service(), mShares, now)) {
                continue;
            }
            boolean sound = isSound(state, now);
            long until = state.pushback().untilNanos(now);
            anyHealthy |= sound && (until == now || until - request.deadlineNanos() < 0);
            boolean hasSlot =
                    crowded ? CrowdedServices.hasRoom(state, now) : hasSlot(request, state, now);
            if (hasSlot && state.pushback().admits(now)) {
                (sound ? healthy : ejected).add(state);
            }
        }
        return anyHealthy ? healthy : ejected;
    }

    /**
     * Tells whether a backend server is neither ejected nor silent.
     *
     * @param state the backend server
     * @param now the local monotonic time
     * @return true if it may get requests
     */
    private static boolean isSound(BackendServerState state, long now) {
        return !state.failures().ejected(state.active(), now) && !state.silence().isSilent(now);
    }

    /**
     * Returns the backend servers that must not take over a request that already runs.
     *
     * @param present the backend servers of the service that are in service
     * @param excluded the backend servers that get no further attempt of the request
     * @param now the local monotonic time
     * @return those that are excluded, ejected or silent
     */
    static Set<BackendServerId> unfitAsSuccessors(
            List<BackendServerState> present, Set<BackendServerId> excluded, long now) {
        Set<BackendServerId> unfit = new HashSet<>(excluded);
        for (BackendServerState state : present) {
            if (!isSound(state, now) || state.silence().isUnresolved()) {
                unfit.add(state.id());
            }
        }
        return unfit;
    }

    /**
     * Tells whether a backend server has a free slot. Where the home of an engine counts the slots,
     * the sums of digests do not close the engine, since they are older than what the home knows.
     *
     * @param request the request
     * @param state the backend server
     * @param now the local monotonic time
     * @return true if the request may use it
     */
    private boolean hasSlot(GatewayRequest request, BackendServerState state, long now) {
        int slots = state.entry().slots();
        return request.service().engine().isPresent() && SlotRule.isScarce(mShares.vms(), slots)
                ? state.running() < slots
                : mRoom.hasSlot(state, now);
    }

    /**
     * Tells whether the entry VMs outnumber the slots of a plain service, and logs each change.
     *
     * @param request a request of the service
     * @param present the backend servers of the service that are in service
     * @return true if only the servers' own statements count
     */
    private boolean isCrowded(GatewayRequest request, List<BackendServerState> present) {
        boolean crowded = CrowdedServices.isCrowded(request, present, mShares);
        ServiceName service = request.service().name();
        if (crowded ? mCrowded.add(service) : mCrowded.remove(service)) {
            LOG.info(
                    "board: crowded plain service, service={} crowded={} vms={} servers={}",
                    service,
                    crowded,
                    mShares.vms(),
                    present.size());
        }
        return crowded;
    }

    /**
     * Counts the backend servers that want no requests at the moment.
     *
     * @param present the backend servers of the service that are in service
     * @param now the local monotonic time
     * @return the number of backend servers
     */
    static int pushedBack(List<BackendServerState> present, long now) {
        int count = 0;
        for (BackendServerState state : present) {
            count += state.pushback().isActive(now) ? 1 : 0;
        }
        return count;
    }

    /**
     * Returns the time before which no backend server takes a request of a service.
     *
     * @param present the backend servers of the service that are in service
     * @param excluded the backend servers that get no further attempt of the request
     * @param now the local monotonic time
     * @return the earliest end of the times for which they want no requests; now if one of them may
     *     take it at any moment, or if there is none
     */
    static long notBefore(
            List<BackendServerState> present, Set<BackendServerId> excluded, long now) {
        long shortest = Long.MAX_VALUE;
        for (BackendServerState state : present) {
            if (!excluded.contains(state.id())) {
                shortest = Math.min(shortest, state.pushback().untilNanos(now) - now);
            }
            if (shortest <= 0) {
                return now;
            }
        }
        return shortest == Long.MAX_VALUE ? now : now + shortest;
    }

    /**
     * Returns the decision of a request that finds no room.
     *
     * @param present the backend servers of the service that are in service
     * @param excluded the backend servers that get no further attempt of the request
     * @param now the local monotonic time
     * @return the decision to wait
     */
    static ServerChoice.Wait noRoom(
            List<BackendServerState> present, Set<BackendServerId> excluded, long now) {
        return new ServerChoice.Wait(
                ErrorKind.OVERLOADED,
                false,
                false,
                notBefore(present, excluded, now),
                pushedBack(present, now));
    }
}
