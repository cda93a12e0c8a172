package org.magnoliaseam.dispatch;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;
import org.magnoliaseam.fleet.ClassFreeSlots;
import org.magnoliaseam.fleet.FleetView;
import org.magnoliaseam.fleet.ServerView;
import org.magnoliaseam.model.BackendServerId;
import org.magnoliaseam.model.RequestClassId;
import org.magnoliaseam.model.Tier;
import org.magnoliaseam.settings.RequestClass;

/** Holds all backend servers with their candidate sets and keeps the sets up to date. */
final class ServerTable {

    /** The servers in the view, and removed ones that still run requests. */
    private final Map<BackendServerId, ServerState> mServers = new LinkedHashMap<>();

    /** The candidate sets. */
    private final Map<CandidateKey, CandidateSet> mSets = new LinkedHashMap<>();

    /** The configured classes. */
    private Map<RequestClassId, RequestClass> mClasses = Map.of();

    /** The tiers whose classes may use each server; computed on demand. */
    private final Map<BackendServerId, ServerTiers> mServerTiers = new HashMap<>();

    /** The pressured tiers, which wait too long at some peer. */
    private Set<Tier> mPressured = Set.of();

    /**
     * Updates the servers and the candidate sets from a new view.
     *
     * @param view the view
     * @param inUse tells which candidate sets have waiting requests
     */
    void update(FleetView view, Predicate<CandidateSet> inUse) {
        if (mClasses != view.configuration().configuration().classes()) {
            mClasses = view.configuration().configuration().classes();
            mServerTiers.clear();
        }
        updateServers(view.servers());
        mSets.entrySet()
                .removeIf(
                        entry ->
                                !inUse.test(entry.getValue())
                                        && !mClasses.containsKey(entry.getKey().requestClass()));
        for (ServerState server : mServers.values()) {
            server.clearSets(mSets.size());
            server.admissionRank(admissionRank(server));
        }
        int index = 0;
        for (CandidateSet set : mSets.values()) {
            set.rebuild(index++, current(set.requestClass()), mServers.values());
        }
    }

    /**
     * Updates the servers from a new view.
     *
     * @param views the servers
     */
    private void updateServers(Map<BackendServerId, ServerView> views) {
        for (ServerState server : mServers.values()) {
            if (!views.containsKey(server.id())) {
                server.removeFromView();
            }
        }
        for (ServerView view : views.values()) {
            ServerState server = mServers.get(view.server().id());
            if (server == null) {
                mServers.put(view.server().id(), new ServerState(view));
            } else {
                server.view(view);
            }
        }
        for (ServerState server : mServers.values()) {
            server.releaseExcess();
        }
        mServers.values().removeIf(server -> !server.inView() && server.running() == 0);
    }

    /**
     * Returns the candidate set of a request.
     *
     * @param work the request
     * @return the set, created if it does not exist
     */
    CandidateSet candidates(WorkItem work) {
        CandidateKey key = new CandidateKey(work.requestClass().id(), work.model());
        CandidateSet set = mSets.get(key);
        if (set == null) {
            set = new CandidateSet(current(work.requestClass()), work.model());
            mSets.put(key, set);
            set.rebuild(mSets.size() - 1, set.requestClass(), mServers.values());
        }
        return set;
    }

    /**
     * Returns the sets whose class is overdue.
     *
     * @param nowNanos the local monotonic time
     * @return the sets, the one that has been overdue longest first
     */
    List<CandidateSet> overdue(long nowNanos) {
        List<CandidateSet> overdue = List.of();
        for (CandidateSet set : mSets.values()) {
            if (set.share().overdueSinceNanos() <= nowNanos) {
                overdue = overdue.isEmpty() ? new ArrayList<>() : overdue;
                overdue.add(set);
            }
        }
        if (overdue.size() > 1) {
            overdue.sort(Comparator.comparingLong(set -> set.share().overdueSinceNanos()));
        }
        return overdue;
    }

    /**
     * Returns a class in the current configuration.
     *
     * @param requestClass the class in an earlier configuration
     * @return the class in the current configuration, or the given one if it was removed from it
     */
    private RequestClass current(RequestClass requestClass) {
        return mClasses.getOrDefault(requestClass.id(), requestClass);
    }

    /**
     * Updates the tiers that may be started: a server that a pressured tier can use is withheld
     * from lower tiers.
     *
     * @param pressured the pressured tiers, which wait too long at some peer
     */
    void updatePressure(Set<Tier> pressured) {
        if (pressured.equals(mPressured)) {
            return;
        }
        mPressured = pressured;
        for (ServerState server : mServers.values()) {
            server.admissionRank(admissionRank(server));
            server.reposition();
        }
    }

    /**
     * Returns the rank of the lowest tier that may be started on a server.
     *
     * @param server the server
     * @return the rank of the highest pressured tier that can use the server, or the lowest rank
     */
    private int admissionRank(ServerState server) {
        for (int rank = 1; rank < Tier.LOWEST_RANK; rank++) {
            Tier tier = new Tier(rank);
            if (mPressured.contains(tier) && serverTiers(server).tiers().contains(tier)) {
                return rank;
            }
        }
        return Tier.LOWEST_RANK;
    }

    /**
     * Returns the tiers whose classes may use a server.
     *
     * @param server the server
     * @return the tiers
     */
    private ServerTiers serverTiers(ServerState server) {
        return mServerTiers.computeIfAbsent(
                server.id(), id -> ServerTiers.of(id, mClasses.values()));
    }

    /**
     * Tells whether any tier is pressured.
     *
     * @return true if some tier waits too long at a peer
     */
    boolean pressured() {
        return !mPressured.isEmpty();
    }

    /**
     * Tells whether a tier above a given one is pressured.
     *
     * @param rank the rank of the given tier
     * @return true if a higher tier waits too long at some peer
     */
    boolean pressuredAbove(int rank) {
        return pressured() && mPressured.stream().anyMatch(tier -> tier.rank() < rank);
    }

    /**
     * Returns a server.
     *
     * @param id the name of the server
     * @return the server, or null if it is not known
     */
    ServerState server(BackendServerId id) {
        return mServers.get(id);
    }

    /**
     * Lists the classes with free slots.
     *
     * @return one entry for each class with a free slot
     */
    List<ClassFreeSlots> room() {
        List<ClassFreeSlots> room = new ArrayList<>();
        for (RequestClass requestClass : mClasses.values()) {
            int free = 0;
            for (BackendServerId id : requestClass.backendServers()) {
                ServerState server = mServers.get(id);
                free += server == null ? 0 : server.freeSlots();
            }
            if (free > 0) {
                room.add(new ClassFreeSlots(requestClass.id().shortKey(), free));
            }
        }
        return room;
    }
}
