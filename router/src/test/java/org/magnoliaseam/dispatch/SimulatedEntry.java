package org.magnoliaseam.dispatch;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import org.magnoliaseam.fleet.FleetView;
import org.magnoliaseam.fleet.PeerView;
import org.magnoliaseam.model.BackendServerId;
import org.magnoliaseam.model.VmId;

/** Holds the dispatcher, the fleet and the running requests of a simulated entry VM. */
final class SimulatedEntry {

    final String mName;
    final Dispatcher mDispatcher;
    final FleetBuilder mFleet;
    final Map<BackendServerId, Integer> mRunning = new HashMap<>();
    final Map<VmId, PeerView> mPeers = new LinkedHashMap<>();

    SimulatedEntry(String name, Dispatcher dispatcher, FleetBuilder fleet) {
        this.mName = name;
        this.mDispatcher = dispatcher;
        this.mFleet = fleet;
    }

    FleetView view() {
        mFleet.self(mName).withoutPeers();
        mPeers.values().forEach(mFleet::peer);
        return mFleet.build();
    }

    int slots(BackendServerId server) {
        return view().servers().containsKey(server) ? view().servers().get(server).slots() : 0;
    }
}
