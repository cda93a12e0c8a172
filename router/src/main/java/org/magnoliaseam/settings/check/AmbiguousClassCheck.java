package org.magnoliaseam.settings.check;

import java.util.HashMap;
import java.util.Map;
import java.util.function.Consumer;
import org.magnoliaseam.model.RequestClassId;
import org.magnoliaseam.model.ServiceName;
import org.magnoliaseam.settings.Fault;
import org.magnoliaseam.settings.RequestClass;
import org.magnoliaseam.settings.schema.ClassKeys;

/** Checks that each combination of service and method belongs to only one class. */
public final class AmbiguousClassCheck implements ConfigurationCheck {

    /** The reason for a method that another class of the same service also lists. */
    public static final String AMBIGUOUS =
            "class \"%s\" has the same service and method \"%s\"; a request could belong to either";

    /**
     * Identifies requests by the properties that determine their class.
     *
     * @param service the service
     * @param method the HTTP method
     */
    private record Route(ServiceName service, String method) {}

    @Override
    public void check(ConfigurationDraft draft, Consumer<Fault> faults) {
        Map<Route, RequestClassId> owners = new HashMap<>();
        for (Located<RequestClass> located : draft.classes().values()) {
            located.value()
                    .service()
                    .ifPresent(service -> checkClass(located, service, owners, faults));
        }
    }

    /**
     * Checks the methods of one class.
     *
     * @param located the class
     * @param service the service of the class
     * @param owners the classes by service and method
     * @param faults receives every fault found
     */
    private static void checkClass(
            Located<RequestClass> located,
            ServiceName service,
            Map<Route, RequestClassId> owners,
            Consumer<Fault> faults) {
        for (String method : located.value().methods()) {
            RequestClassId owner =
                    owners.putIfAbsent(new Route(service, method), located.value().id());
            if (owner != null) {
                String reason = AMBIGUOUS.formatted(owner, method);
                faults.accept(located.itemFault(ClassKeys.METHODS, method, reason));
            }
        }
    }
}
