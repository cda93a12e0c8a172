package org.magnoliaseam.settings.check;

import java.util.List;
import java.util.function.Consumer;
import org.magnoliaseam.model.ModelId;
import org.magnoliaseam.settings.BackendServer;
import org.magnoliaseam.settings.Fault;
import org.magnoliaseam.settings.RequestClass;
import org.magnoliaseam.settings.schema.ClassKeys;

/** Checks that the backend servers of a class serve its models or provide its service. */
public final class UnservedClassCheck implements ConfigurationCheck {

    /** The reason for a model that no backend server of the class serves. */
    public static final String NO_MODEL = "no backend server of the class serves model \"%s\"";

    /** The reason for a service that no backend server of the class provides. */
    public static final String NO_SERVICE =
            "no backend server of the class provides service \"%s\"";

    @Override
    public void check(ConfigurationDraft draft, Consumer<Fault> faults) {
        for (Located<RequestClass> located : draft.classes().values()) {
            List<Located<BackendServer>> servers =
                    located.value().backendServers().stream()
                            .filter(draft.backendServers()::containsKey)
                            .map(draft.backendServers()::get)
                            .toList();
            boolean readable =
                    servers.size() == located.value().backendServers().size()
                            && servers.stream().allMatch(Located::complete);
            if (located.complete() && readable) {
                checkModels(located, servers, faults);
                checkService(located, servers, faults);
            }
        }
    }

    /**
     * Reports models that no server serves.
     *
     * @param located the class
     * @param servers the servers of the class
     * @param faults receives every fault found
     */
    private static void checkModels(
            Located<RequestClass> located,
            List<Located<BackendServer>> servers,
            Consumer<Fault> faults) {
        for (ModelId model : located.value().models()) {
            boolean served = servers.stream().anyMatch(s -> s.value().models().contains(model));
            if (!served) {
                String reason = NO_MODEL.formatted(model);
                faults.accept(located.itemFault(ClassKeys.MODELS, model.value(), reason));
            }
        }
    }

    /**
     * Reports a service that no server provides.
     *
     * @param located the class
     * @param servers the servers of the class
     * @param faults receives the fault
     */
    private static void checkService(
            Located<RequestClass> located,
            List<Located<BackendServer>> servers,
            Consumer<Fault> faults) {
        located.value()
                .service()
                .filter(
                        service ->
                                servers.stream()
                                        .noneMatch(
                                                s ->
                                                        s.value()
                                                                .service()
                                                                .filter(service::equals)
                                                                .isPresent()))
                .map(service -> located.fault(ClassKeys.SERVICE, NO_SERVICE.formatted(service)))
                .ifPresent(faults);
    }
}
