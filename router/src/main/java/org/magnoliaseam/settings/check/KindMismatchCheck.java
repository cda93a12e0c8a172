package org.magnoliaseam.settings.check;

import java.util.function.Consumer;
import org.magnoliaseam.model.BackendKind;
import org.magnoliaseam.model.BackendServerId;
import org.magnoliaseam.settings.BackendServer;
import org.magnoliaseam.settings.Fault;
import org.magnoliaseam.settings.RequestClass;
import org.magnoliaseam.settings.schema.ClassKeys;

/** Checks that the backend servers of a class have the kind that the class needs. */
public final class KindMismatchCheck implements ConfigurationCheck {

    /** The reason for a server whose kind does not match the class. */
    public static final String OTHER_KIND =
            "lists backend server \"%s\" of kind \"%s\"; the class needs kind \"%s\"";

    @Override
    public void check(ConfigurationDraft draft, Consumer<Fault> faults) {
        for (Located<RequestClass> located : draft.classes().values()) {
            boolean hasModels = !located.value().models().isEmpty();
            if (hasModels != located.value().service().isPresent()) {
                BackendKind kind = hasModels ? BackendKind.MODEL_ENGINE : BackendKind.PLAIN_SERVICE;
                checkClass(draft, located, kind, faults);
            }
        }
    }

    /**
     * Checks the backend servers of one class.
     *
     * @param draft the merged configuration
     * @param located the class
     * @param kind the kind that the class needs
     * @param faults receives every fault found
     */
    private static void checkClass(
            ConfigurationDraft draft,
            Located<RequestClass> located,
            BackendKind kind,
            Consumer<Fault> faults) {
        for (BackendServerId id : located.value().backendServers()) {
            Located<BackendServer> server = draft.backendServers().get(id);
            if (server != null && server.complete() && server.value().kind() != kind) {
                String reason = OTHER_KIND.formatted(id, server.value().kind().text(), kind.text());
                faults.accept(located.itemFault(ClassKeys.BACKEND_SERVERS, id.value(), reason));
            }
        }
    }
}
