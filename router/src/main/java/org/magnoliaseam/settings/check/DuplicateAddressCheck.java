package org.magnoliaseam.settings.check;

import java.net.URI;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;
import java.util.function.Consumer;
import org.magnoliaseam.model.BackendServerId;
import org.magnoliaseam.settings.BackendServer;
import org.magnoliaseam.settings.Fault;
import org.magnoliaseam.settings.schema.BackendServerKeys;

/** Checks that no two backend servers have the same address. */
public final class DuplicateAddressCheck implements ConfigurationCheck {

    /** The reason for an address that another server also has. */
    public static final String DUPLICATE = "is also the address of backend server \"%s\"";

    @Override
    public void check(ConfigurationDraft draft, Consumer<Fault> faults) {
        Map<String, BackendServerId> owners = new HashMap<>();
        for (Located<BackendServer> located : draft.backendServers().values()) {
            URI placeholder = BackendServerKeys.ADDRESS.fallback();
            if (!located.complete() && located.value().address().equals(placeholder)) {
                continue;
            }
            String address = located.value().address().toString().toLowerCase(Locale.ROOT);
            BackendServerId owner = owners.putIfAbsent(address, located.value().id());
            if (owner != null) {
                String reason = DUPLICATE.formatted(owner);
                faults.accept(located.fault(BackendServerKeys.ADDRESS, reason));
            }
        }
    }
}
