package org.magnoliaseam.settings.schema;

import java.time.Duration;
import java.util.List;

/** Lists the keys of the routing limits. */
public final class RoutingKeys {

    /** The largest number of queued requests of each tier at one entry VM. */
    public static final KeySpec<Integer> QUEUE_LIMIT =
            KeySpec.optional(
                    "queue-limit", new IntegerType(1, 100_000), Scope.BASE_OR_OVERLAY, 1000);

    /** The allowed retries as a fraction of first attempts. */
    public static final KeySpec<Double> RETRY_BUDGET =
            KeySpec.optional("retry-budget", new DecimalType(0, 1), Scope.BASE_OR_OVERLAY, 0.1);

    /** The time for which a ticket stays valid. */
    public static final KeySpec<Duration> TICKET_TTL =
            KeySpec.optional(
                    "ticket-ttl",
                    ValueTypes.duration("1 s", "5 min"),
                    Scope.BASE_OR_OVERLAY,
                    Duration.ofSeconds(20));

    /** The time for which a request that crashed a backend server is refused. */
    public static final KeySpec<Duration> SUSPECT_TTL =
            KeySpec.optional(
                    "suspect-ttl",
                    ValueTypes.duration("1 s", "60 min"),
                    Scope.BASE_OR_OVERLAY,
                    Duration.ofSeconds(60));

    /** The longest expected delay until all entry VMs have received a changed VM list. */
    public static final KeySpec<Duration> VM_LIST_LAG =
            KeySpec.optional(
                    "vm-list-lag",
                    ValueTypes.duration("1 ms", "10 min"),
                    Scope.BASE_OR_OVERLAY,
                    Duration.ofSeconds(10));

    /** The table of routing limits. */
    public static final TableSpec TABLE =
            new TableSpec(
                    "routing",
                    TableSpec.Shape.PLAIN,
                    List.of(QUEUE_LIMIT, RETRY_BUDGET, TICKET_TTL, SUSPECT_TTL, VM_LIST_LAG));

    /** Prevents instances of this utility class. */
    private RoutingKeys() {}
}
