package org.magnoliaseam.testbed.archive;

import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.magnoliaseam.testbed.harness.ManagedProcess;
import org.magnoliaseam.testbed.harness.Ports;
import org.magnoliaseam.testbed.harness.Signal;
import org.magnoliaseam.testbed.http.ListenAddress;
import org.magnoliaseam.testbed.store.ServerStandIn;
import org.magnoliaseam.testbed.store.StoreStandIn;

/**
 * Runs two entry VMs between a metadata store, an engine and a plain service. The first one is
 * trained, the second is its peer.
 */
final class TrainingSite implements AutoCloseable {

    /** The longest wait for the planned stop of a process. */
    private static final Duration STOP_TIMEOUT = Duration.ofSeconds(30);

    /** The configuration; the placeholder is its version. */
    private static final String CONFIGURATION =
            """
            {"version":%d,"routes":[\
            {"name":"lookup","host":"127.0.0.1","prefix":"/lookup/","kind":"safe","priority":2,\
            "timeout_ms":3000,"target_latency_ms":300,"service":"desk","max_attempts":2},\
            {"name":"pay","host":"127.0.0.1","prefix":"/pay/","kind":"unsafe","priority":2,\
            "timeout_ms":3000,"target_latency_ms":300,"service":"desk","max_attempts":1},\
            {"name":"steps","host":"127.0.0.1","prefix":"/stream/","kind":"stream","priority":0,\
            "timeout_ms":5000,"target_latency_ms":500,"service":"engines","max_attempts":2,\
            "stream_resumption":true,"gap_target_ms":300}],\
            "services":[{"name":"desk","max_connections":50},\
            {"name":"engines","max_connections":50,"cold_per_s":10,"cold_start_s":3,\
            "engine":{"slots":8,"kv_capacity_tokens":100000}}],\
            "limits":{"max_body_bytes":100000,"idle_timeout_ms":15000},\
            "tenants":[{"name":"school","api_keys":["key-1"],"priority":1}]}""";

    /** The store. */
    private final StoreStandIn mStore;

    /** The backend servers. */
    private final List<ServerStandIn> mServers = new ArrayList<>();

    /** The entry VMs. */
    private final List<ManagedProcess> mRouters = new ArrayList<>();

    /** The callers' port of the trained entry VM. */
    private final ListenAddress mCallers = Ports.free();

    /** The readiness port of the trained entry VM. */
    private final ListenAddress mReadiness = Ports.free();

    /** The peer port of the trained entry VM. */
    private final ListenAddress mPeer = Ports.free();

    /**
     * Starts the site.
     *
     * @param folder the folder for settings and output
     * @param trained the command line of the trained router without the settings file
     * @param plain the command line of its peer without the settings file
     * @throws Exception if a process cannot be started
     */
    TrainingSite(Path folder, List<String> trained, List<String> plain) throws Exception {
        mStore = new StoreStandIn(Ports.free());
        configure(1);
        for (String service : List.of("desk", "engines")) {
            for (int i = 0; i < 2; i++) {
                String id = "i-" + service + i;
                ServerStandIn server = new ServerStandIn(id, Ports.free());
                mServers.add(server);
                mStore.put("servers/" + id, server.entry(service, "domain-" + i, "ready"));
            }
        }
        start(folder, "trained", trained, mCallers, mReadiness, mPeer);
        start(folder, "peer", plain, Ports.free(), Ports.free(), Ports.free());
    }

    /**
     * Publishes a version of the configuration.
     *
     * @param version the version
     */
    void configure(int version) {
        mStore.put("op/config", CONFIGURATION.formatted(version));
    }

    /**
     * Takes a failure domain out of service or returns it.
     *
     * @param domain the failure domain
     * @param out whether it is taken out
     */
    void evacuate(String domain, boolean out) {
        if (out) {
            mStore.put("op/evacuate/" + domain, "{}");
        } else {
            mStore.delete("op/evacuate/" + domain);
        }
    }

    /**
     * Changes how the first backend server of each service handles requests.
     *
     * @param mode the mode
     */
    void mode(ServerStandIn.Mode mode) {
        mServers.get(0).mode(mode);
        mServers.get(2).mode(mode);
    }

    /**
     * Returns the callers' port of the trained entry VM.
     *
     * @return the address
     */
    ListenAddress callers() {
        return mCallers;
    }

    /**
     * Returns the readiness port of the trained entry VM.
     *
     * @return the address
     */
    ListenAddress readiness() {
        return mReadiness;
    }

    /**
     * Returns the processor time that the trained process has used.
     *
     * @return the time
     */
    Duration processorTime() {
        return ProcessHandle.of(mRouters.get(0).pid())
                .flatMap(process -> process.info().totalCpuDuration())
                .orElse(Duration.ZERO);
    }

    @Override
    public void close() throws Exception {
        for (ManagedProcess router : mRouters) {
            router.send(Signal.TERM);
        }
        for (ManagedProcess router : mRouters) {
            router.awaitExit(STOP_TIMEOUT);
        }
        for (ServerStandIn server : mServers) {
            server.close();
        }
        mStore.close();
    }

    /**
     * Starts a router.
     *
     * @param folder the folder for settings and output
     * @param name the name of its VM
     * @param command the command line without the settings file
     * @param callers the callers' port
     * @param readiness the readiness port
     * @param peer the peer port
     * @throws Exception if the settings cannot be written
     */
    private void start(
            Path folder,
            String name,
            List<String> command,
            ListenAddress callers,
            ListenAddress readiness,
            ListenAddress peer)
            throws Exception {
        Path settings = folder.resolve(name + ".toml");
        Files.writeString(
                settings,
                """
                vm = "%s"
                failure-domain = "domain-1"
                callers-address = "%s"
                readiness-address = "%s"
                operators-address = "%s"
                peers-address = "%s"
                store-address = "%s"
                seeds = ["%s"]
                retry-ratio = 0.2
                retry-slack = 50
                stop-grace = "4 s"
                """
                        .formatted(
                                name,
                                callers,
                                readiness,
                                Ports.free(),
                                peer,
                                mStore.server().address(),
                                mPeer));
        List<String> whole = new ArrayList<>(command);
        whole.add(settings.toString());
        Path working = Path.of("").toAbsolutePath();
        mRouters.add(new ManagedProcess(name, working, folder.resolve(name + ".out"), whole));
    }
}
