package org.magnoliaseam.settings.check;

import java.util.Set;
import java.util.function.Consumer;
import java.util.stream.Collectors;
import org.magnoliaseam.settings.Fault;
import org.magnoliaseam.settings.OutOfService;
import org.magnoliaseam.settings.schema.BackendServerKeys;
import org.magnoliaseam.settings.schema.OutOfServiceKeys;

/** Checks that the failure domains and backend servers listed as out of service exist. */
public final class OutOfServiceCheck implements ConfigurationCheck {

    /** The reason for a failure domain that contains no backend server. */
    public static final String NO_DOMAIN =
            "names a failure domain that no backend server is in: \"%s\"%s";

    @Override
    public void check(ConfigurationDraft draft, Consumer<Fault> faults) {
        OutOfService value = draft.outOfService().value();
        ReferenceReport report = new ReferenceReport(draft.outOfService(), faults);
        Set<String> servers = draft.entryNames(BackendServerKeys.TABLE);
        report.report(
                OutOfServiceKeys.BACKEND_SERVERS,
                value.backendServers(),
                servers,
                DanglingReferenceCheck.NO_SERVER);
        boolean domainsReadable =
                draft.backendServers().size() == servers.size()
                        && draft.backendServers().values().stream().allMatch(Located::complete);
        if (domainsReadable) {
            report.report(
                    OutOfServiceKeys.FAILURE_DOMAINS,
                    value.failureDomains(),
                    failureDomains(draft),
                    NO_DOMAIN);
        }
    }

    /**
     * Collects the failure domains of all backend servers.
     *
     * @param draft the merged configuration
     * @return the names
     */
    private static Set<String> failureDomains(ConfigurationDraft draft) {
        return draft.backendServers().values().stream()
                .map(server -> server.value().failureDomain().value())
                .collect(Collectors.toSet());
    }
}
