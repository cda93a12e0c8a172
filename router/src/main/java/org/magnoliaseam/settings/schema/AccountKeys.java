package org.magnoliaseam.settings.schema;

import java.util.List;
import java.util.Optional;
import org.magnoliaseam.model.RequestClassId;

/** Lists the keys of a client account. */
public final class AccountKeys {

    /** The hashes of the accepted keys. */
    public static final KeySpec<List<String>> KEY_HASHES =
            KeySpec.required("key-hashes", ValueTypes.KEY_HASHES, Scope.BASE, List.of());

    /** The classes that the account may use. */
    public static final KeySpec<List<RequestClassId>> CLASSES =
            KeySpec.required(
                    "classes", ValueTypes.names(RequestClassId::new), Scope.BASE, List.of());

    /** The class of chat requests that do not name one. */
    public static final KeySpec<Optional<RequestClassId>> DEFAULT_CLASS =
            KeySpec.optional(
                    "default-class",
                    ValueTypes.optionalName(RequestClassId::new),
                    Scope.BASE,
                    Optional.empty());

    /** The request rate per second that each entry VM accepts. */
    public static final KeySpec<Double> REQUESTS_PER_SECOND =
            KeySpec.optional(
                    "requests-per-second",
                    new DecimalType(0.01, 100_000),
                    Scope.BASE_OR_OVERLAY,
                    10.0);

    /** The largest number of requests in progress at each entry VM. */
    public static final KeySpec<Integer> MAX_IN_FLIGHT =
            KeySpec.optional(
                    "max-in-flight", new IntegerType(1, 100_000), Scope.BASE_OR_OVERLAY, 50);

    /** The table of client accounts. */
    public static final TableSpec TABLE =
            new TableSpec(
                    "accounts",
                    TableSpec.Shape.NAMED_IN_BASE,
                    List.of(
                            KEY_HASHES,
                            CLASSES,
                            DEFAULT_CLASS,
                            REQUESTS_PER_SECOND,
                            MAX_IN_FLIGHT));

    /** Prevents instances of this utility class. */
    private AccountKeys() {}
}
