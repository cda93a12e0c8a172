package org.magnoliaseam.testbed.soak;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicBoolean;
import org.magnoliaseam.testbed.harness.Ports;
import org.magnoliaseam.testbed.http.ListenAddress;
import org.magnoliaseam.testbed.proxy.FaultProxy;
import org.magnoliaseam.testbed.store.StoreStandIn;

/** Runs a small site: entry VM processes between a store and backend servers. Thread-safe. */
final class SoakSite implements AutoCloseable {

    /** The version of the first configuration. */
    private static final int FIRST_VERSION = 10;

    /** The routes that every version has, and one that only this version has. */
    private static final String CONFIGURATION =
            """
            {"version":%1$d,"routes":[\
            {"name":"lookup","host":"127.0.0.1","prefix":"/lookup/","kind":"safe",\
            "timeout_ms":2000,"target_latency_ms":150,"service":"desk","max_attempts":2},\
            {"name":"pay","host":"127.0.0.1","prefix":"/pay/","kind":"unsafe",\
            "timeout_ms":2000,"target_latency_ms":150,"service":"desk","max_attempts":1},\
            {"name":"steps","host":"127.0.0.1","prefix":"/steps/","kind":"stream",\
            "timeout_ms":3000,"target_latency_ms":200,"service":"desk","max_attempts":2,\
            "stream_resumption":true,"gap_target_ms":100},\
            {"name":"tale","host":"127.0.0.1","prefix":"/tale/","kind":"stream",\
            "timeout_ms":3000,"target_latency_ms":200,"service":"desk","max_attempts":1,\
            "gap_target_ms":100},\
            {"name":"v%1$d","host":"127.0.0.1","prefix":"/v%1$d/","kind":"safe",\
            "timeout_ms":2000,"target_latency_ms":150,"service":"desk","max_attempts":2}],\
            "services":[{"name":"desk","max_connections":200}],\
            "limits":{"max_body_bytes":100000,"idle_timeout_ms":15000},\
            "tenants":[{"name":"school","api_keys":["key-1"],"priority":1}]}""";

    /** The store. */
    private final StoreStandIn mStore;

    /** The entry VMs. */
    private final List<SoakRouter> mRouters = new ArrayList<>();

    /** The slots of backend servers. */
    private final List<SoakServer> mServers = new ArrayList<>();

    /** The configurations in order. */
    private final List<Published> mVersions = new CopyOnWriteArrayList<>();

    /** The times at which failure domains were out of service. */
    private final List<Evacuation> mEvacuations = new CopyOnWriteArrayList<>();

    /** When the store was disturbed. */
    private final DisturbanceLog mStoreDisturbances = new DisturbanceLog();

    /** Whether the store is about to come back from a copy. */
    private final AtomicBoolean mRestoring = new AtomicBoolean();

    /** The number of faults that keep the store stopped. */
    private int mStoreDown;

    /**
     * Holds when a configuration was published.
     *
     * @param version the version
     * @param nanos the local monotonic time
     */
    record Published(int version, long nanos) {}

    /** Holds when a failure domain was out of service. */
    static final class Evacuation {

        /** The failure domain. */
        private final String mDomain;

        /** The local monotonic time of the beginning. */
        private final long mBeginNanos = System.nanoTime();

        /** The local monotonic time of the return. */
        private volatile long mEndNanos = Long.MAX_VALUE;

        /**
         * Begins an evacuation.
         *
         * @param domain the failure domain
         */
        private Evacuation(String domain) {
            mDomain = domain;
        }

        /**
         * Tells whether a failure domain is out of service.
         *
         * @param domain the failure domain
         * @return true if this evacuation is of the domain and has not ended
         */
        boolean isOpen(String domain) {
            return mDomain.equals(domain) && mEndNanos == Long.MAX_VALUE;
        }

        /**
         * Tells whether a failure domain had been out of service for some time.
         *
         * @param domain the failure domain
         * @param nanos the local monotonic time
         * @param sinceNanos how long it must have been out of service, in nanoseconds
         * @return true if it had been
         */
        boolean covers(String domain, long nanos, long sinceNanos) {
            return mDomain.equals(domain) && nanos - mBeginNanos > sinceNanos && nanos < mEndNanos;
        }
    }

    /**
     * Starts a site.
     *
     * @param folder the folder for settings and output
     * @param binary the router's executable
     * @param targets the number of entry VMs, and of backend servers
     * @throws Exception if a port cannot be opened
     */
    SoakSite(Path folder, String binary, int targets) throws Exception {
        mStore = new StoreStandIn(Ports.free());
        configure();
        List<ListenAddress> peers = new ArrayList<>();
        for (int i = 0; i < targets; i++) {
            peers.add(Ports.free());
        }
        for (int i = 0; i < targets; i++) {
            SoakServer server = new SoakServer(i, mStore);
            mServers.add(server);
            server.start();
            mRouters.add(router(folder, binary, i, peers));
        }
        mRouters.forEach(SoakRouter::start);
    }

    /**
     * Creates an entry VM.
     *
     * @param folder the folder for settings and output
     * @param binary the router's executable
     * @param number its number
     * @param peers the peer addresses of all entry VMs
     * @return the entry VM, not yet started
     * @throws IOException if the settings cannot be written
     */
    private SoakRouter router(Path folder, String binary, int number, List<ListenAddress> peers)
            throws IOException {
        ListenAddress callers = Ports.free();
        FaultProxy link = new FaultProxy(ListenAddress.loopback(0), mStore.server().address());
        StringBuilder seeds = new StringBuilder();
        peers.forEach(peer -> seeds.append('"').append(peer).append("\","));
        String settings =
                """
                vm = "entry-%d"
                failure-domain = "%s"
                callers-address = "%s"
                readiness-address = "%s"
                operators-address = "%s"
                peers-address = "%s"
                store-address = "%s"
                seeds = [%s]
                retry-ratio = 0.2
                retry-slack = 50
                stop-grace = "8 s"
                """
                        .formatted(
                                number,
                                SoakServer.domain(number),
                                callers,
                                Ports.free(),
                                Ports.free(),
                                peers.get(number),
                                link.address(),
                                seeds);
        List<String> command = List.of(binary, "route", "--publisher", "store", "--settings");
        return new SoakRouter("entry-" + number, folder, callers, link, settings, command);
    }

    /**
     * Returns the entry VMs.
     *
     * @return the entry VMs by number
     */
    List<SoakRouter> routers() {
        return mRouters;
    }

    /**
     * Returns the slots of backend servers.
     *
     * @return the slots by number
     */
    List<SoakServer> servers() {
        return mServers;
    }

    /**
     * Returns an entry VM.
     *
     * @param number its number
     * @return the entry VM
     */
    SoakRouter router(int number) {
        return mRouters.get(number);
    }

    /**
     * Returns a slot of backend servers.
     *
     * @param number its number
     * @return the slot
     */
    SoakServer server(int number) {
        return mServers.get(number);
    }

    /**
     * Returns the configurations.
     *
     * @return the configurations in the order of their versions
     */
    List<Published> versions() {
        return mVersions;
    }

    /**
     * Returns when failure domains were out of service.
     *
     * @return the evacuations
     */
    List<Evacuation> evacuations() {
        return mEvacuations;
    }

    /**
     * Returns when the store was disturbed.
     *
     * @return the disturbances
     */
    DisturbanceLog storeDisturbances() {
        return mStoreDisturbances;
    }

    /**
     * Publishes a new configuration.
     *
     * @return does nothing
     */
    synchronized AutoCloseable configure() {
        int version = FIRST_VERSION + mVersions.size();
        mStore.put("op/config", CONFIGURATION.formatted(version));
        mVersions.add(new Published(version, System.nanoTime()));
        return () -> {};
    }

    /**
     * Makes all backend servers fall silent.
     *
     * @return makes them go on
     */
    AutoCloseable hang() {
        List<AutoCloseable> ends = mServers.stream().map(SoakServer::hang).toList();
        return () -> {
            for (AutoCloseable end : ends) {
                end.close();
            }
        };
    }

    /**
     * Compacts the history of the store.
     *
     * @return does nothing
     */
    AutoCloseable storeForgets() {
        mStore.compact();
        return () -> {};
    }

    /**
     * Makes the store refuse connections.
     *
     * @return makes it listen again
     * @throws Exception if the port cannot be closed
     */
    synchronized AutoCloseable storeDown() throws Exception {
        DisturbanceLog.Interval interval = mStoreDisturbances.begin();
        if (mStoreDown++ == 0) {
            mStore.server().suspend();
        }
        return () -> storeUp(interval);
    }

    /**
     * Ends one fault that kept the store stopped.
     *
     * @param interval the disturbance that ends
     * @throws Exception if the port cannot be opened
     */
    private synchronized void storeUp(DisturbanceLog.Interval interval) throws Exception {
        if (--mStoreDown == 0) {
            mStore.server().resume();
        }
        interval.end();
    }

    /**
     * Takes a copy of the store, unless another one is to be restored.
     *
     * @return restores the copy
     */
    AutoCloseable storeRestored() {
        if (!mRestoring.compareAndSet(false, true)) {
            return () -> {};
        }
        StoreRestore restore = new StoreRestore(this, mStore);
        return () -> {
            restore.close();
            mRestoring.set(false);
        };
    }

    /** Writes the configuration and the failure domains out of service again. */
    synchronized void writeAgain() {
        int version = mVersions.get(mVersions.size() - 1).version();
        mStore.put("op/config", CONFIGURATION.formatted(version));
        for (SoakServer server : mServers) {
            String key = "op/evacuate/" + server.domain();
            if (mEvacuations.stream().anyMatch(out -> out.isOpen(server.domain()))) {
                mStore.put(key, "{}");
            } else {
                mStore.delete(key);
            }
        }
    }

    /**
     * Takes a failure domain out of service.
     *
     * @param number the number of its slot
     * @return returns it to service
     */
    synchronized AutoCloseable evacuate(int number) {
        String domain = SoakServer.domain(number);
        Evacuation evacuation = new Evacuation(domain);
        mEvacuations.add(evacuation);
        mStore.put("op/evacuate/" + domain, "{}");
        return () -> end(evacuation);
    }

    /**
     * Ends an evacuation. Its failure domain returns to service with its last evacuation.
     *
     * @param evacuation the evacuation
     */
    private synchronized void end(Evacuation evacuation) {
        String domain = evacuation.mDomain;
        evacuation.mEndNanos = System.nanoTime();
        if (mEvacuations.stream().noneMatch(other -> other.isOpen(domain))) {
            mStore.delete("op/evacuate/" + domain);
        }
    }

    @Override
    public void close() throws Exception {
        mRouters.forEach(SoakRouter::close);
        for (SoakServer server : mServers) {
            server.close();
        }
        mStore.close();
    }
}
