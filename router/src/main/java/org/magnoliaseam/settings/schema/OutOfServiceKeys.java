package org.magnoliaseam.settings.schema;

import java.util.List;
import org.magnoliaseam.model.BackendServerId;
import org.magnoliaseam.model.FailureDomain;
import org.magnoliaseam.model.VmId;

/** Lists the keys that take parts of a site out of service. */
public final class OutOfServiceKeys {

    /** The failure domains that get no new work. */
    public static final KeySpec<List<FailureDomain>> FAILURE_DOMAINS =
            KeySpec.optional(
                    "failure-domains",
                    ValueTypes.names(FailureDomain::new),
                    Scope.BASE_OR_OVERLAY,
                    List.of());

    /** The entry VMs that take no new work. */
    public static final KeySpec<List<VmId>> VMS =
            KeySpec.optional("vms", ValueTypes.names(VmId::new), Scope.BASE_OR_OVERLAY, List.of());

    /** The backend servers that get no new work. */
    public static final KeySpec<List<BackendServerId>> BACKEND_SERVERS =
            KeySpec.optional(
                    "backend-servers",
                    ValueTypes.names(BackendServerId::new),
                    Scope.BASE_OR_OVERLAY,
                    List.of());

    /** The table of the parts that are out of service. */
    public static final TableSpec TABLE =
            new TableSpec(
                    "out-of-service",
                    TableSpec.Shape.PLAIN,
                    List.of(FAILURE_DOMAINS, VMS, BACKEND_SERVERS));

    /** Prevents instances of this utility class. */
    private OutOfServiceKeys() {}
}
