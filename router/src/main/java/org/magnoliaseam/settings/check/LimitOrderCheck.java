package org.magnoliaseam.settings.check;

import java.util.function.Consumer;
import org.magnoliaseam.settings.BackendServer;
import org.magnoliaseam.settings.Fault;
import org.magnoliaseam.settings.schema.BackendServerKeys;

/** Checks that the cold limit of a server is not above its warm limit. */
public final class LimitOrderCheck implements ConfigurationCheck {

    /** The reason for a cold limit above the warm limit. */
    public static final String COLD_ABOVE_WARM = "must not be above warm-limit (%d)";

    @Override
    public void check(ConfigurationDraft draft, Consumer<Fault> faults) {
        for (Located<BackendServer> located : draft.backendServers().values()) {
            BackendServer server = located.value();
            if (located.complete() && server.coldLimit() > server.warmLimit()) {
                String reason = COLD_ABOVE_WARM.formatted(server.warmLimit());
                faults.accept(located.fault(BackendServerKeys.COLD_LIMIT, reason));
            }
        }
    }
}
