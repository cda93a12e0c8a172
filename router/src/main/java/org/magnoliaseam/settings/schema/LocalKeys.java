package org.magnoliaseam.settings.schema;

import java.net.InetSocketAddress;
import java.net.URI;
import java.time.Duration;
import java.util.List;
import org.magnoliaseam.model.FailureDomain;
import org.magnoliaseam.model.Region;
import org.magnoliaseam.model.Site;
import org.magnoliaseam.model.VmId;
import org.magnoliaseam.settings.DispatchPolicy;
import org.magnoliaseam.settings.PeerAddress;

/** Lists the keys of the local settings of a process. */
public final class LocalKeys {

    /** The VM that the process runs on. */
    public static final KeySpec<VmId> VM =
            KeySpec.required(
                    "vm", ValueTypes.name(VmId::new), Scope.LOCAL, new VmId(Placeholders.NAME));

    /** The site of the VM. */
    public static final KeySpec<Site> SITE =
            KeySpec.required(
                    "site", ValueTypes.name(Site::new), Scope.LOCAL, new Site(Placeholders.NAME));

    /** The region of the VM. */
    public static final KeySpec<Region> REGION =
            KeySpec.required(
                    "region",
                    ValueTypes.name(Region::new),
                    Scope.LOCAL,
                    new Region(Placeholders.NAME));

    /** The failure domain of the VM. */
    public static final KeySpec<FailureDomain> FAILURE_DOMAIN =
            KeySpec.required(
                    "failure-domain",
                    ValueTypes.name(FailureDomain::new),
                    Scope.LOCAL,
                    new FailureDomain(Placeholders.NAME));

    /** The address of the callers' port. */
    public static final KeySpec<InetSocketAddress> CALLERS_ADDRESS =
            KeySpec.required(
                    "callers-address",
                    ValueTypes.SOCKET_ADDRESS,
                    Scope.LOCAL,
                    Placeholders.SOCKET_ADDRESS);

    /** The address of the operators' port. */
    public static final KeySpec<InetSocketAddress> OPERATORS_ADDRESS =
            KeySpec.required(
                    "operators-address",
                    ValueTypes.SOCKET_ADDRESS,
                    Scope.LOCAL,
                    Placeholders.SOCKET_ADDRESS);

    /** The address of the peer port. */
    public static final KeySpec<InetSocketAddress> PEERS_ADDRESS =
            KeySpec.required(
                    "peers-address",
                    ValueTypes.SOCKET_ADDRESS,
                    Scope.LOCAL,
                    Placeholders.SOCKET_ADDRESS);

    /** The base address of the platform. */
    public static final KeySpec<URI> PLATFORM =
            KeySpec.required(
                    "platform", ValueTypes.HTTP_ADDRESS, Scope.LOCAL, Placeholders.HTTP_ADDRESS);

    /** The entry VMs used until the VM list of the platform has been read. */
    public static final KeySpec<List<PeerAddress>> PEERS =
            KeySpec.optional("peers", new ListType<>(new PeerType()), Scope.LOCAL, List.of());

    /** The file that holds the secret shared by the entry VMs. */
    public static final KeySpec<String> PEER_SECRET_FILE =
            KeySpec.required("peer-secret-file", ValueTypes.FILE_NAME, Scope.LOCAL, "");

    /** The policy for queuing requests and choosing backend servers. */
    public static final KeySpec<DispatchPolicy> DISPATCH_POLICY =
            KeySpec.optional(
                    "dispatch-policy",
                    ValueTypes.choice(DispatchPolicy.values(), DispatchPolicy::text),
                    Scope.LOCAL,
                    DispatchPolicy.TIERED);

    /** The largest accepted request body in bytes. */
    public static final KeySpec<Integer> MAX_BODY_BYTES =
            KeySpec.optional(
                    "max-body-bytes",
                    new IntegerType(1024, 4 * 1024 * 1024),
                    Scope.LOCAL,
                    1024 * 1024);

    /** The time limit for receiving a request body. */
    public static final KeySpec<Duration> BODY_TIMEOUT =
            KeySpec.optional(
                    "body-timeout",
                    ValueTypes.duration("100 ms", "5 min"),
                    Scope.LOCAL,
                    Duration.ofSeconds(10));

    /** The time at shutdown during which the process is unready but still accepts new work. */
    public static final KeySpec<Duration> BALANCER_GRACE =
            KeySpec.optional(
                    "balancer-grace",
                    ValueTypes.duration("0 s", "5 min"),
                    Scope.LOCAL,
                    Duration.ofSeconds(5));

    /** The file for decision records. */
    public static final KeySpec<String> LOG_FILE =
            KeySpec.optional("log-file", ValueTypes.FILE_NAME, Scope.LOCAL, "");

    /** The root table of the local settings. */
    public static final TableSpec TABLE =
            new TableSpec(
                    "",
                    TableSpec.Shape.PLAIN,
                    List.of(
                            VM,
                            SITE,
                            REGION,
                            FAILURE_DOMAIN,
                            CALLERS_ADDRESS,
                            OPERATORS_ADDRESS,
                            PEERS_ADDRESS,
                            PLATFORM,
                            PEERS,
                            PEER_SECRET_FILE,
                            DISPATCH_POLICY,
                            MAX_BODY_BYTES,
                            BODY_TIMEOUT,
                            BALANCER_GRACE,
                            LOG_FILE));

    /** Prevents instances of this utility class. */
    private LocalKeys() {}
}
