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
import org.magnoliaseam.testbed.store.StoreStandIn;

/** Runs a place for backend servers: one after another with a new id each. Thread-safe. */
final class SoakServer implements AutoCloseable {

    /** The service of all backend servers. */
    static final String SERVICE = "desk";

    /** The time before an answer and between the events of a stream in milliseconds. */
    private static final long PACE_MILLIS = 15;

    /** The time after a crash at which the store drops the entry, in milliseconds. */
    private static final long LAPSE_MILLIS = 400;

    /** The number of the place. */
    private final int mNumber;

    /** The store that lists the backend server. */
    private final StoreStandIn mStore;

    /** When the link to the server or the server was disturbed. */
    private final Disturbances mDisturbances = new Disturbances();

    /** All backend servers that stood here. */
    private final List<Life> mLives = new CopyOnWriteArrayList<>();

    /** Whether the present backend server is about to be replaced. */
    private boolean mLeaving;

    /** Holds one backend server. */
    static final class Life {

        /** The backend server. */
        private final ServerStandIn mServer;

        /** The id. */
        private final String mId;

        /** The link from all entry VMs. */
        private final FaultProxy mLink;

        /** The local monotonic time at which the store told that it leaves. */
        private volatile long mLeavingNanos = Long.MAX_VALUE;

        /**
         * Creates a life.
         *
         * @param server the backend server
         * @param id the id
         * @param link the link from all entry VMs
         */
        private Life(ServerStandIn server, String id, FaultProxy link) {
            mServer = server;
            mId = id;
            mLink = link;
        }

        /**
         * Returns the requests that it ran.
         *
         * @return the starts
         */
        List<ServerStandIn.Run> starts() {
            return mServer.starts();
        }

        /**
         * Returns when the store told that it leaves.
         *
         * @return the local monotonic time; the largest number if it never left
         */
        long leavingNanos() {
            return mLeavingNanos;
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
     * Creates a place without a backend server.
     *
     * @param number the number of the place
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
        String id = "i-" + mNumber + "-" + mLives.size();
        ListenAddress address = Ports.free();
        ServerStandIn server = new ServerStandIn(id, address, PACE_MILLIS);
        Life life = new Life(server, id, new FaultProxy(ListenAddress.loopback(0), address));
        mLives.add(life);
        mLeaving = false;
        publish(life, "ready");
    }

    /**
     * Returns the failure domain of the place.
     *
     * @return the name
     */
    String domain() {
        return domain(mNumber);
    }

    /**
     * Returns the failure domain of a place.
     *
     * @param number the number of the place
     * @return the name
     */
    static String domain(int number) {
        return "domain-" + number;
    }

    /**
     * Returns all backend servers that stood here.
     *
     * @return the lives in order
     */
    List<Life> lives() {
        return mLives;
    }

    /**
     * Returns when the place was disturbed.
     *
     * @return the disturbances
     */
    Disturbances disturbances() {
        return mDisturbances;
    }

    /**
     * Disturbs the link to the present backend server.
     *
     * @param faults the faults of the link
     * @return heals it
     */
    synchronized AutoCloseable link(LinkFaults faults) {
        Disturbances.Span span = mDisturbances.begin();
        Life life = present();
        life.mLink.apply(faults);
        return () -> {
            life.mLink.heal();
            span.end();
        };
    }

    /**
     * Changes what the present backend server does.
     *
     * @param mode what it does
     * @return lets it answer again
     */
    synchronized AutoCloseable mode(ServerStandIn.Mode mode) {
        Disturbances.Span span = mDisturbances.begin();
        ServerStandIn server = present().mServer;
        server.mode(mode);
        return () -> {
            server.mode(ServerStandIn.Mode.SOUND);
            span.end();
        };
    }

    /**
     * Crashes the present backend server.
     *
     * @return lets another one take its place
     * @throws Exception if it cannot be closed
     */
    synchronized AutoCloseable crash() throws Exception {
        if (mLeaving) {
            return () -> {};
        }
        mLeaving = true;
        Disturbances.Span span = mDisturbances.begin();
        Life life = present();
        life.mLink.apply(LinkFaults.both(Fault.RESET));
        return () -> {
            TimeUnit.MILLISECONDS.sleep(LAPSE_MILLIS);
            mStore.delete("servers/" + life.id());
            start();
            span.end();
        };
    }

    /**
     * Lets the present backend server leave.
     *
     * @return ends it and lets another one take its place
     */
    synchronized AutoCloseable drain() {
        if (mLeaving) {
            return () -> {};
        }
        mLeaving = true;
        Life life = present();
        publish(life, "draining");
        life.mLeavingNanos = System.nanoTime();
        return () -> {
            mStore.delete("servers/" + life.id());
            start();
        };
    }

    @Override
    public void close() throws Exception {
        for (Life life : mLives) {
            life.mLink.close();
            life.mServer.close();
        }
    }

    /**
     * Returns the present backend server.
     *
     * @return the last one that was started
     */
    private Life present() {
        return mLives.get(mLives.size() - 1);
    }

    /**
     * Publishes a backend server.
     *
     * @param life the backend server
     * @param state ready or draining
     */
    private void publish(Life life, String state) {
        String entry = life.mServer.entry(SERVICE, domain(), state, life.mLink.address());
        mStore.put("servers/" + life.id(), entry);
    }
}
