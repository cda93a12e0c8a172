package org.magnoliaseam.testbed.soak;

import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import org.magnoliaseam.testbed.harness.Ports;
import org.magnoliaseam.testbed.http.ListenAddress;
import org.magnoliaseam.testbed.proxy.Fault;
import org.magnoliaseam.testbed.proxy.FaultProxy;
import org.magnoliaseam.testbed.proxy.LinkFaults;
import org.magnoliaseam.testbed.store.ServerStandIn;
import org.magnoliaseam.testbed.store.StatedNotices;
import org.magnoliaseam.testbed.store.StoreStandIn;

/** Runs a slot for backend servers: one at a time, each with a new id. Thread-safe. */
final class SoakServer implements AutoCloseable {

    /** The service of all backend servers. */
    static final String SERVICE = "desk";

    /** The time before an answer and between the events of a stream in milliseconds. */
    private static final long PACE_MILLIS = 15;

    /**
     * The time after the end of a crash fault after which the store removes the entry, in
     * milliseconds.
     */
    private static final long REMOVAL_DELAY_MILLIS = 400;

    /** The number of the slot. */
    private final int mNumber;

    /** The store that lists the backend server. */
    private final StoreStandIn mStore;

    /** When the link to the server or the server was disturbed. */
    private final DisturbanceLog mDisturbances = new DisturbanceLog();

    /** When the server was silent; these intervals are disturbances too. */
    private final DisturbanceLog mSilences = new DisturbanceLog();

    /** When answers of the server could be lost; these intervals are disturbances too. */
    private final DisturbanceLog mLosses = new DisturbanceLog();

    /** All backend servers of this slot in the order of their starts. */
    private final List<Instance> mInstances = new CopyOnWriteArrayList<>();

    /** Whether the current backend server is about to be replaced. */
    private boolean mReplacing;

    /** Holds one backend server. */
    static final class Instance {

        /** The backend server. */
        private final ServerStandIn mServer;

        /** The id. */
        private final String mId;

        /** The link from all entry VMs. */
        private final FaultProxy mLink;

        /** The local monotonic time at which the store listed it as draining. */
        private volatile long mDrainingNanos = Long.MAX_VALUE;

        /** The local monotonic times at which it started again after it had left. */
        private final List<Long> mReturnsNanos = new CopyOnWriteArrayList<>();

        /**
         * Creates an instance.
         *
         * @param server the backend server
         * @param id the id
         * @param link the link from all entry VMs
         */
        private Instance(ServerStandIn server, String id, FaultProxy link) {
            mServer = server;
            mId = id;
            mLink = link;
        }

        /**
         * Returns the requests that it ran.
         *
         * @return the executions in order
         */
        List<ServerStandIn.Run> starts() {
            return mServer.starts();
        }

        /**
         * Returns when the store listed it as draining.
         *
         * @return the local monotonic time; the largest number if it was never drained
         */
        long drainingNanos() {
            return mDrainingNanos;
        }

        /**
         * Returns how often the server had started again after it had left.
         *
         * @param nanos the local monotonic time
         * @return the number of later starts up to then
         */
        long returns(long nanos) {
            return mReturnsNanos.stream().filter(returned -> returned <= nanos).count();
        }

        /**
         * Returns the requests that arrived.
         *
         * @return the requests in order
         */
        List<ServerStandIn.Arrival> arrivals() {
            return mServer.arrivals();
        }

        /**
         * Returns the id.
         *
         * @return the id
         */
        String id() {
            return mId;
        }
    }

    /**
     * Creates a slot without a backend server.
     *
     * @param number the number of the slot
     * @param store the store that lists the backend server
     */
    SoakServer(int number, StoreStandIn store) {
        mNumber = number;
        mStore = store;
    }

    /**
     * Starts a backend server with a new id.
     *
     * @throws Exception if a port cannot be opened
     */
    synchronized void start() throws Exception {
        String id = "i-" + mNumber + "-" + mInstances.size();
        ListenAddress address = Ports.free();
        ServerStandIn server = new ServerStandIn(id, address, PACE_MILLIS);
        Instance instance =
                new Instance(server, id, new FaultProxy(ListenAddress.loopback(0), address));
        mInstances.add(instance);
        mReplacing = false;
        publish(instance, "ready");
    }

    /**
     * Returns the failure domain of the slot.
     *
     * @return the name
     */
    String domain() {
        return domain(mNumber);
    }

    /**
     * Returns the failure domain of a slot.
     *
     * @param number the number of the slot
     * @return the name
     */
    static String domain(int number) {
        return "domain-" + number;
    }

    /**
     * Returns all backend servers of this slot.
     *
     * @return the instances in order
     */
    List<Instance> instances() {
        return mInstances;
    }

    /**
     * Returns when the slot was disturbed.
     *
     * @return the disturbances
     */
    DisturbanceLog disturbances() {
        return mDisturbances;
    }

    /**
     * Returns when the server of the slot was silent.
     *
     * @return the silences
     */
    DisturbanceLog silences() {
        return mSilences;
    }

    /**
     * Returns when answers of the server could be lost.
     *
     * @return the faults of the link, the silences and the crashes
     */
    DisturbanceLog losses() {
        return mLosses;
    }

    /**
     * Makes the current backend server fall silent.
     *
     * @return makes it go on
     */
    synchronized AutoCloseable hang() {
        DisturbanceLog.Interval disturbance = mDisturbances.begin();
        DisturbanceLog.Interval silence = mSilences.begin();
        DisturbanceLog.Interval loss = mLosses.begin();
        AutoCloseable end = current().mServer.fallSilent();
        return () -> {
            end.close();
            silence.end();
            loss.end();
            disturbance.end();
        };
    }

    /**
     * Disturbs the link to the current backend server.
     *
     * @param faults the faults of the link
     * @return removes the faults
     */
    synchronized AutoCloseable link(LinkFaults faults) {
        DisturbanceLog.Interval interval = mDisturbances.begin();
        DisturbanceLog.Interval loss = mLosses.begin();
        Instance instance = current();
        instance.mLink.apply(faults);
        return () -> {
            instance.mLink.heal();
            loss.end();
            interval.end();
        };
    }

    /**
     * Changes the mode of the current backend server.
     *
     * @param mode the mode
     * @return restores the normal mode
     */
    synchronized AutoCloseable mode(ServerStandIn.Mode mode) {
        DisturbanceLog.Interval interval = mDisturbances.begin();
        ServerStandIn server = current().mServer;
        server.mode(mode);
        return () -> {
            server.mode(ServerStandIn.Mode.SOUND);
            interval.end();
        };
    }

    /**
     * Crashes the current backend server.
     *
     * @return starts another one in its slot
     * @throws Exception if it cannot be closed
     */
    synchronized AutoCloseable crash() throws Exception {
        if (mReplacing) {
            return () -> {};
        }
        mReplacing = true;
        DisturbanceLog.Interval interval = mDisturbances.begin();
        DisturbanceLog.Interval loss = mLosses.begin();
        Instance instance = current();
        instance.mLink.apply(LinkFaults.both(Fault.RESET));
        return () -> {
            TimeUnit.MILLISECONDS.sleep(REMOVAL_DELAY_MILLIS);
            mStore.delete("servers/" + instance.id());
            start();
            loss.end();
            interval.end();
        };
    }

    /**
     * Drains the current backend server.
     *
     * @return removes it from the store and starts another one in its slot
     */
    synchronized AutoCloseable drain() {
        if (mReplacing) {
            return () -> {};
        }
        mReplacing = true;
        Instance instance = current();
        publish(instance, "draining");
        instance.mDrainingNanos = System.nanoTime();
        return () -> {
            mStore.delete("servers/" + instance.id());
            start();
        };
    }

    /**
     * Makes the current instance say in its answers that it is leaving, while its entry stays as it
     * is. At the end it starts again under the same id at the same address.
     *
     * @return ends the fault
     */
    synchronized AutoCloseable leaveByAnswer() {
        if (mReplacing) {
            return () -> {};
        }
        mReplacing = true;
        Instance instance = current();
        instance.mServer.state(StatedNotices.LEAVING);
        return () -> startAgain(instance);
    }

    /**
     * Starts an instance again under its id.
     *
     * @param instance the instance, which has left
     */
    private synchronized void startAgain(Instance instance) {
        DisturbanceLog.Interval loss = mLosses.begin();
        instance.mServer.server().resetAll();
        loss.end();
        instance.mServer.state(StatedNotices.NONE);
        instance.mServer.startAgain();
        instance.mReturnsNanos.add(System.nanoTime());
        publish(instance, "ready");
        mReplacing = false;
    }

    /**
     * Makes the current instance state something in its answers.
     *
     * @param notices what it states
     * @return ends the fault
     */
    synchronized AutoCloseable state(StatedNotices notices) {
        if (mReplacing) {
            return () -> {};
        }
        DisturbanceLog.Interval interval = mDisturbances.begin();
        ServerStandIn server = current().mServer;
        server.state(notices);
        return () -> {
            server.state(StatedNotices.NONE);
            interval.end();
        };
    }

    /** Writes the entry of the current backend server again. */
    synchronized void writeAgain() {
        Instance instance = current();
        publish(instance, instance.mDrainingNanos == Long.MAX_VALUE ? "ready" : "draining");
    }

    /** Removes the entries of the earlier backend servers, which are not written any more. */
    synchronized void expireEarlier() {
        for (Instance earlier : mInstances.subList(0, mInstances.size() - 1)) {
            mStore.delete("servers/" + earlier.id());
        }
    }

    @Override
    public void close() throws Exception {
        for (Instance instance : mInstances) {
            instance.mLink.close();
            instance.mServer.close();
        }
    }

    /**
     * Returns the current backend server.
     *
     * @return the last one that was started
     */
    private Instance current() {
        return mInstances.get(mInstances.size() - 1);
    }

    /**
     * Publishes a backend server.
     *
     * @param instance the backend server
     * @param state ready or draining
     */
    private void publish(Instance instance, String state) {
        String entry = instance.mServer.entry(SERVICE, domain(), state, instance.mLink.address());
        mStore.put("servers/" + instance.id(), entry);
    }
}
