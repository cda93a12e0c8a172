package org.magnoliaseam.dispatch;

import java.util.Collection;
import java.util.Set;
import java.util.stream.Collectors;
import org.magnoliaseam.model.BackendServerId;
import org.magnoliaseam.model.Tier;
import org.magnoliaseam.settings.RequestClass;

/**
 * Holds the tiers of the classes that may use a backend server.
 *
 * @param tiers the tiers of the classes
 */
record ServerTiers(Set<Tier> tiers) {

    /**
     * Collects the tiers of the classes that list a server.
     *
     * @param server the server
     * @param classes the configured classes
     * @return the tiers of these classes
     */
    static ServerTiers of(BackendServerId server, Collection<RequestClass> classes) {
        Set<RequestClass> users =
                classes.stream()
                        .filter(requestClass -> requestClass.backendServers().contains(server))
                        .collect(Collectors.toSet());
        Set<Tier> tiers = users.stream().map(RequestClass::tier).collect(Collectors.toSet());
        return new ServerTiers(tiers);
    }
}
