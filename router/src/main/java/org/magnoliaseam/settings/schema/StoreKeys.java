package org.magnoliaseam.settings.schema;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;
import org.magnoliaseam.model.FailureDomain;
import org.magnoliaseam.model.VmId;

/** Lists the keys of the local settings at a site that a metadata store publishes. */
public final class StoreKeys {

    /** The VM that the process runs on. */
    public static final KeySpec<VmId> VM = LocalKeys.VM;

    /** The failure domain of the VM. */
    public static final KeySpec<FailureDomain> FAILURE_DOMAIN = LocalKeys.FAILURE_DOMAIN;

    /** The address of the callers' port. */
    public static final KeySpec<InetSocketAddress> CALLERS_ADDRESS = LocalKeys.CALLERS_ADDRESS;

    /** The address of the operators' port. */
    public static final KeySpec<InetSocketAddress> OPERATORS_ADDRESS = LocalKeys.OPERATORS_ADDRESS;

    /** The address of the peer port. */
    public static final KeySpec<InetSocketAddress> PEERS_ADDRESS = LocalKeys.PEERS_ADDRESS;

    /** The address at which the load balancer checks readiness. */
    public static final KeySpec<InetSocketAddress> READINESS_ADDRESS = address("readiness-address");

    /** The address of the metadata store. */
    public static final KeySpec<InetSocketAddress> STORE_ADDRESS = address("store-address");

    /** The time within which lost contact with the metadata store is noticed and restored. */
    public static final KeySpec<Duration> STORE_CONTACT_LIMIT =
            KeySpec.optional(
                    "store-contact-limit",
                    ValueTypes.duration("200 ms", "10 min"),
                    Scope.LOCAL,
                    Duration.ofSeconds(3));

    /** The peer port addresses of some entry VMs for the first contact. */
    public static final KeySpec<List<InetSocketAddress>> SEEDS =
            KeySpec.optional(
                    "seeds", new ListType<>(ValueTypes.SOCKET_ADDRESS), Scope.LOCAL, List.of());

    /** The allowed retries of all entry VMs as a fraction of first attempts. */
    public static final KeySpec<Double> RETRY_RATIO =
            KeySpec.optional("retry-ratio", new DecimalTextType(0, 100), Scope.LOCAL, 0.1);

    /** The retries that all entry VMs may make in one window in addition to that fraction. */
    public static final KeySpec<Double> RETRY_SLACK =
            KeySpec.optional("retry-slack", new DecimalTextType(0, 1_000_000), Scope.LOCAL, 20.0);

    /** The time between the stop signal and the forced end of the process. */
    public static final KeySpec<Duration> STOP_GRACE =
            KeySpec.optional(
                    "stop-grace",
                    ValueTypes.duration("1 ms", "60 min"),
                    Scope.LOCAL,
                    Duration.ofSeconds(8));

    /** The time that a request has to save by leaving its failure domain; 0 to turn this off. */
    public static final KeySpec<Duration> CROSSING_COST =
            KeySpec.optional(
                    "crossing-cost", ValueTypes.duration("0 s", "1 s"), Scope.LOCAL, Duration.ZERO);

    /** The interval at which backend servers write their entries to the metadata store. */
    public static final KeySpec<Duration> SERVER_HEARTBEAT =
            KeySpec.optional(
                    "server-heartbeat",
                    ValueTypes.duration("1 ms", "10 min"),
                    Scope.LOCAL,
                    Duration.ofMillis(1200));

    /** The table of all keys. */
    public static final TableSpec TABLE =
            new TableSpec(
                    "",
                    TableSpec.Shape.PLAIN,
                    List.of(
                            VM,
                            FAILURE_DOMAIN,
                            CALLERS_ADDRESS,
                            READINESS_ADDRESS,
                            OPERATORS_ADDRESS,
                            PEERS_ADDRESS,
                            STORE_ADDRESS,
                            STORE_CONTACT_LIMIT,
                            SEEDS,
                            RETRY_RATIO,
                            RETRY_SLACK,
                            STOP_GRACE,
                            CROSSING_COST,
                            SERVER_HEARTBEAT));

    /** Prevents instances of this utility class. */
    private StoreKeys() {}

    /**
     * Describes a required address.
     *
     * @param name the key
     * @return the description
     */
    private static KeySpec<InetSocketAddress> address(String name) {
        return KeySpec.required(
                name, ValueTypes.SOCKET_ADDRESS, Scope.LOCAL, Placeholders.SOCKET_ADDRESS);
    }
}
