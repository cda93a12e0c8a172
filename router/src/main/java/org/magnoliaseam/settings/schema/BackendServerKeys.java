package org.magnoliaseam.settings.schema;

import java.net.URI;
import java.util.List;
import java.util.Optional;
import org.magnoliaseam.model.BackendKind;
import org.magnoliaseam.model.FailureDomain;
import org.magnoliaseam.model.ModelId;
import org.magnoliaseam.model.Region;
import org.magnoliaseam.model.ServiceName;

/** Lists the keys of a backend server. */
public final class BackendServerKeys {

    /** Whether the server is a model engine or a plain service. */
    public static final KeySpec<BackendKind> KIND =
            KeySpec.required(
                    "kind",
                    ValueTypes.choice(BackendKind.values(), BackendKind::text),
                    Scope.BASE,
                    BackendKind.MODEL_ENGINE);

    /** The base address. */
    public static final KeySpec<URI> ADDRESS =
            KeySpec.required(
                    "address",
                    ValueTypes.HTTP_ADDRESS,
                    Scope.BASE_OR_OVERLAY,
                    Placeholders.HTTP_ADDRESS);

    /** The region. */
    public static final KeySpec<Region> REGION =
            KeySpec.required(
                    "region",
                    ValueTypes.name(Region::new),
                    Scope.BASE_OR_OVERLAY,
                    new Region(Placeholders.NAME));

    /** The failure domain. */
    public static final KeySpec<FailureDomain> FAILURE_DOMAIN =
            KeySpec.required(
                    "failure-domain",
                    ValueTypes.name(FailureDomain::new),
                    Scope.BASE_OR_OVERLAY,
                    new FailureDomain(Placeholders.NAME));

    /** The models that a model engine serves. */
    public static final KeySpec<List<ModelId>> MODELS =
            KeySpec.optional("models", ValueTypes.names(ModelId::new), Scope.BASE, List.of());

    /** The service that a plain service provides. */
    public static final KeySpec<Optional<ServiceName>> SERVICE =
            KeySpec.optional(
                    "service",
                    ValueTypes.optionalName(ServiceName::new),
                    Scope.BASE,
                    Optional.empty());

    /** The largest number of concurrent requests when the server is warm. */
    public static final KeySpec<Integer> WARM_LIMIT =
            KeySpec.optional("warm-limit", new IntegerType(1, 10_000), Scope.BASE_OR_OVERLAY, 16);

    /** The largest number of concurrent requests during a cold start. */
    public static final KeySpec<Integer> COLD_LIMIT =
            KeySpec.optional("cold-limit", new IntegerType(1, 10_000), Scope.BASE_OR_OVERLAY, 1);

    /** Whether the server rejects requests with an outdated fencing token. */
    public static final KeySpec<Boolean> CHECKS_FENCING =
            KeySpec.optional("checks-fencing", ValueTypes.BOOLEAN, Scope.BASE, false);

    /** The table of backend servers. */
    public static final TableSpec TABLE =
            new TableSpec(
                    "backend-servers",
                    TableSpec.Shape.NAMED_ANYWHERE,
                    List.of(
                            KIND,
                            ADDRESS,
                            REGION,
                            FAILURE_DOMAIN,
                            MODELS,
                            SERVICE,
                            WARM_LIMIT,
                            COLD_LIMIT,
                            CHECKS_FENCING));

    /** Prevents instances of this utility class. */
    private BackendServerKeys() {}
}
