package org.magnoliaseam.settings.check;

import java.util.function.Consumer;
import org.magnoliaseam.model.BackendKind;
import org.magnoliaseam.settings.BackendServer;
import org.magnoliaseam.settings.Fault;
import org.magnoliaseam.settings.schema.BackendServerKeys;
import org.magnoliaseam.settings.schema.KeySpec;

/** Checks that a model engine lists models and a plain service names its service. */
public final class ServerKindCheck implements ConfigurationCheck {

    /** The reason for a server that lacks a key that its kind requires. */
    public static final String NEEDED = "is required for kind \"%s\"";

    /** The reason for a server that has a key that its kind does not allow. */
    public static final String NOT_ALLOWED = "is not for kind \"%s\"";

    @Override
    public void check(ConfigurationDraft draft, Consumer<Fault> faults) {
        for (Located<BackendServer> located : draft.backendServers().values()) {
            if (located.complete()) {
                checkServer(located, faults);
            }
        }
    }

    /**
     * Checks one server.
     *
     * @param located the server
     * @param faults receives every fault found
     */
    private static void checkServer(Located<BackendServer> located, Consumer<Fault> faults) {
        BackendServer server = located.value();
        boolean engine = server.kind() == BackendKind.MODEL_ENGINE;
        KeySpec<?> needed = engine ? BackendServerKeys.MODELS : BackendServerKeys.SERVICE;
        KeySpec<?> other = engine ? BackendServerKeys.SERVICE : BackendServerKeys.MODELS;
        boolean missing = engine ? server.models().isEmpty() : server.service().isEmpty();
        if (missing) {
            faults.accept(located.fault(needed, NEEDED.formatted(server.kind().text())));
        }
        if (located.sets(other)) {
            faults.accept(located.fault(other, NOT_ALLOWED.formatted(server.kind().text())));
        }
    }
}
