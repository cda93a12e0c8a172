package org.magnoliaseam.settings.check;

import java.util.List;

/** Lists all checks of a configuration. */
public final class ConfigurationChecks {

    /** The checks in the order in which they run. */
    public static final List<ConfigurationCheck> ALL =
            List.of(
                    new RequiredTableCheck(),
                    new ClassTargetCheck(),
                    new ClassKeysCheck(),
                    new ServerKindCheck(),
                    new LimitOrderCheck(),
                    new DuplicateAddressCheck(),
                    new DanglingReferenceCheck(),
                    new OutOfServiceCheck(),
                    new KindMismatchCheck(),
                    new UnservedClassCheck(),
                    new AmbiguousClassCheck(),
                    new DefaultClassCheck(),
                    new DuplicateKeyCheck(),
                    new GuaranteedShareCheck());

    /** Prevents instances of this utility class. */
    private ConfigurationChecks() {}
}
