package org.magnoliaseam.dispatch;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.magnoliaseam.model.BackendServerId;
import org.magnoliaseam.model.ModelId;
import org.magnoliaseam.model.Tier;
import org.magnoliaseam.settings.BackendServer;
import org.magnoliaseam.settings.RequestClass;

/**
 * Holds the servers that may run requests of one class and model. The open servers, which have a
 * free slot for the tier of the class, come first in the array, so that one is found in constant
 * time.
 */
final class CandidateSet {

    /** The model; empty for plain services. */
    private final Optional<ModelId> mModel;

    /** The guaranteed share of the class in the starts on these servers. */
    private final ClassShare mShare;

    /** The class in the current configuration. */
    private RequestClass mRequestClass;

    /** The index of this set in the position arrays of the servers. */
    private int mIndex;

    /** The servers, the open ones first. */
    private ServerState[] mServers = {};

    /** The number of open servers. */
    private int mOpen;

    /** The number of running requests that may be preempted, by rank. */
    private final int[] mPreemptible = new int[Tier.LOWEST_RANK + 1];

    /** The mean time to the first token over the servers, in nanoseconds. */
    private long mFirstTokenNanos;

    /**
     * Creates a set without servers.
     *
     * @param requestClass the class in the current configuration
     * @param model the model; empty for plain services
     */
    CandidateSet(RequestClass requestClass, Optional<ModelId> model) {
        mRequestClass = requestClass;
        mModel = model;
        mShare = new ClassShare(requestClass);
    }

    /**
     * Rebuilds the set from the current configuration and the servers in the view.
     *
     * @param index the index of this set in the position arrays of the servers
     * @param requestClass the class in the current configuration
     * @param servers all known servers; those not in the view are ignored
     */
    void rebuild(int index, RequestClass requestClass, Iterable<ServerState> servers) {
        mIndex = index;
        mRequestClass = requestClass;
        mShare.requestClass(requestClass);
        List<ServerState> members = new ArrayList<>();
        for (ServerState server : servers) {
            if (server.inView() && isCandidate(server.view().server())) {
                members.add(server);
            }
        }
        mServers = members.toArray(new ServerState[0]);
        mOpen = 0;
        Arrays.fill(mPreemptible, 0);
        double firstTokenMillis = 0;
        int measured = 0;
        for (int i = 0; i < mServers.length; i++) {
            ServerState server = mServers[i];
            server.addToSet(this, mIndex, i);
            for (int rank = 1; rank <= Tier.LOWEST_RANK; rank++) {
                mPreemptible[rank] += server.preemptible(rank).size();
            }
            if (server.view().firstTokenMillis() > 0) {
                firstTokenMillis += server.view().firstTokenMillis();
                measured++;
            }
            reposition(server);
        }
        mFirstTokenNanos = measured == 0 ? 0 : (long) (firstTokenMillis / measured * 1_000_000);
    }

    /**
     * Tells whether a server may run the class and serves the model.
     *
     * @param server the server
     * @return true if it is a candidate
     */
    private boolean isCandidate(BackendServer server) {
        return mRequestClass.backendServers().contains(server.id())
                && (mModel.isEmpty() || server.models().contains(mModel.get()))
                && (mRequestClass.service().isEmpty()
                        || mRequestClass.service().equals(server.service()));
    }

    /**
     * Moves a server between the open and the other part of the array after a change of its state.
     *
     * @param server a server of this set
     */
    void reposition(ServerState server) {
        int position = server.position(mIndex);
        boolean open = server.openFor(mRequestClass.tier());
        if (open && position >= mOpen) {
            swap(position, mOpen);
            mOpen++;
        } else if (!open && position < mOpen) {
            mOpen--;
            swap(position, mOpen);
        }
    }

    /**
     * Swaps two servers.
     *
     * @param first the position of one server
     * @param second the position of the other server
     */
    private void swap(int first, int second) {
        ServerState server = mServers[first];
        mServers[first] = mServers[second];
        mServers[second] = server;
        mServers[first].moveTo(mIndex, first);
        mServers[second].moveTo(mIndex, second);
    }

    /**
     * Tells whether at least one server has a free slot.
     *
     * @param excluded the servers to ignore
     * @return true if at least one open server is not excluded
     */
    boolean open(Set<BackendServerId> excluded) {
        if (mOpen > excluded.size()) {
            return true;
        }
        for (int i = 0; i < mOpen; i++) {
            if (!excluded.contains(mServers[i].id())) {
                return true;
            }
        }
        return false;
    }

    /**
     * Tells whether no server has any slots, free or in use.
     *
     * @param excluded the servers to ignore
     * @return true if no server that is not excluded has slots
     */
    boolean hasNoServer(Set<BackendServerId> excluded) {
        for (ServerState server : mServers) {
            if (server.slots() > 0 && !excluded.contains(server.id())) {
                return false;
            }
        }
        return true;
    }

    /**
     * Adjusts the number of running requests that may be preempted.
     *
     * @param rank the rank of their tier
     * @param change the number to add; negative to subtract
     */
    void countPreemptible(int rank, int change) {
        mPreemptible[rank] += change;
    }

    /**
     * Returns the number of running requests that may be preempted.
     *
     * @param rank the rank of their tier
     * @return the count over all servers of the set
     */
    int preemptible(int rank) {
        return mPreemptible[rank];
    }

    /**
     * Tells whether a server belongs to the set.
     *
     * @param server the server
     * @return true if it does
     */
    boolean contains(ServerState server) {
        int position = server.position(mIndex);
        return position >= 0 && position < mServers.length && mServers[position] == server;
    }

    /**
     * Tells whether a server belongs to the set and is open.
     *
     * @param server the server
     * @return true if the server belongs to the set and has a free slot for the tier of the class
     */
    boolean containsOpen(ServerState server) {
        return contains(server) && server.position(mIndex) < mOpen;
    }

    /**
     * Returns the server at a position.
     *
     * @param position the position; the open servers come first
     * @return the server
     */
    ServerState server(int position) {
        return mServers[position];
    }

    /**
     * Returns the number of servers.
     *
     * @return the count
     */
    int size() {
        return mServers.length;
    }

    /**
     * Returns the number of open servers.
     *
     * @return the count
     */
    int openCount() {
        return mOpen;
    }

    /**
     * Returns the guaranteed share of the class in the starts on these servers.
     *
     * @return the share
     */
    ClassShare share() {
        return mShare;
    }

    /**
     * Returns the class in the current configuration.
     *
     * @return the class
     */
    RequestClass requestClass() {
        return mRequestClass;
    }

    /**
     * Returns the tier of the class.
     *
     * @return the tier
     */
    Tier tier() {
        return mRequestClass.tier();
    }

    /**
     * Returns the mean time to the first token over the servers.
     *
     * @return the time in nanoseconds; 0 if unknown
     */
    long firstTokenNanos() {
        return mFirstTokenNanos;
    }
}
