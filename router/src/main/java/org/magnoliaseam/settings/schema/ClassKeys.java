package org.magnoliaseam.settings.schema;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.magnoliaseam.model.BackendServerId;
import org.magnoliaseam.model.ModelId;
import org.magnoliaseam.model.ServiceName;
import org.magnoliaseam.model.Tier;

/** Lists the keys of a request class. */
public final class ClassKeys {

    /** The priority; 1 is the highest. */
    public static final KeySpec<Integer> TIER =
            KeySpec.required("tier", new IntegerType(1, Tier.LOWEST_RANK), Scope.BASE, 1);

    /** The longest accepted time to the first token. */
    public static final KeySpec<Duration> FIRST_TOKEN =
            KeySpec.optional(
                    "first-token",
                    ValueTypes.duration("1 ms", "10 min"),
                    Scope.BASE_OR_OVERLAY,
                    Duration.ZERO);

    /** The longest accepted time between tokens. */
    public static final KeySpec<Duration> BETWEEN_TOKENS =
            KeySpec.optional(
                    "between-tokens",
                    ValueTypes.duration("1 ms", "1 min"),
                    Scope.BASE_OR_OVERLAY,
                    Duration.ZERO);

    /** The longest accepted time to the end of the answer. */
    public static final KeySpec<Duration> WHOLE_ANSWER =
            KeySpec.required(
                    "whole-answer",
                    ValueTypes.duration("1 ms", "60 min"),
                    Scope.BASE_OR_OVERLAY,
                    Duration.ofSeconds(1));

    /** The fraction of requests that must meet the targets. */
    public static final KeySpec<Double> OBJECTIVE =
            KeySpec.optional("objective", new DecimalType(0.5, 0.9999), Scope.BASE, 0.99);

    /** The smallest fraction of started requests that belongs to the class under overload. */
    public static final KeySpec<Double> GUARANTEED_SHARE =
            KeySpec.optional("guaranteed-share", new DecimalType(0.001, 0.5), Scope.BASE, 0.01);

    /** The longest time that a request may wait in the queue. */
    public static final KeySpec<Duration> MAX_QUEUE_WAIT =
            KeySpec.optional(
                    "max-queue-wait",
                    ValueTypes.duration("1 ms", "10 min"),
                    Scope.BASE_OR_OVERLAY,
                    Duration.ofSeconds(2));

    /** The backend servers that may run the class. */
    public static final KeySpec<List<BackendServerId>> BACKEND_SERVERS =
            KeySpec.required(
                    "backend-servers",
                    ValueTypes.names(BackendServerId::new),
                    Scope.BASE_OR_OVERLAY,
                    List.of());

    /** The models of the class. */
    public static final KeySpec<List<ModelId>> MODELS =
            KeySpec.optional("models", ValueTypes.names(ModelId::new), Scope.BASE, List.of());

    /** The plain service of the class. */
    public static final KeySpec<Optional<ServiceName>> SERVICE =
            KeySpec.optional(
                    "service",
                    ValueTypes.optionalName(ServiceName::new),
                    Scope.BASE,
                    Optional.empty());

    /** The HTTP methods of the plain service that belong to the class. */
    public static final KeySpec<List<String>> METHODS =
            KeySpec.optional("methods", ValueTypes.HTTP_METHODS, Scope.BASE, List.of());

    /** Whether a request may be retried after a failure. */
    public static final KeySpec<Boolean> IDEMPOTENT =
            KeySpec.optional("idempotent", ValueTypes.BOOLEAN, Scope.BASE, true);

    /** The table of request classes. */
    public static final TableSpec TABLE =
            new TableSpec(
                    "classes",
                    TableSpec.Shape.NAMED_IN_BASE,
                    List.of(
                            TIER,
                            FIRST_TOKEN,
                            BETWEEN_TOKENS,
                            WHOLE_ANSWER,
                            OBJECTIVE,
                            GUARANTEED_SHARE,
                            MAX_QUEUE_WAIT,
                            BACKEND_SERVERS,
                            MODELS,
                            SERVICE,
                            METHODS,
                            IDEMPOTENT));

    /** Prevents instances of this utility class. */
    private ClassKeys() {}
}
