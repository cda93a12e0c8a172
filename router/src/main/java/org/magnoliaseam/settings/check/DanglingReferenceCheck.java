package org.magnoliaseam.settings.check;

import java.util.Set;
import java.util.function.Consumer;
import org.magnoliaseam.settings.ClientAccount;
import org.magnoliaseam.settings.Fault;
import org.magnoliaseam.settings.RequestClass;
import org.magnoliaseam.settings.schema.AccountKeys;
import org.magnoliaseam.settings.schema.BackendServerKeys;
import org.magnoliaseam.settings.schema.ClassKeys;

/**
 * Checks that the backend servers named by classes and the classes named by accounts are defined.
 */
public final class DanglingReferenceCheck implements ConfigurationCheck {

    /** The reason for a backend server that is not defined. */
    public static final String NO_SERVER = "names no known backend server: \"%s\"%s";

    /** The reason for a class that is not defined. */
    public static final String NO_CLASS = "names no known class: \"%s\"%s";

    @Override
    public void check(ConfigurationDraft draft, Consumer<Fault> faults) {
        Set<String> servers = draft.entryNames(BackendServerKeys.TABLE);
        for (Located<RequestClass> located : draft.classes().values()) {
            new ReferenceReport(located, faults)
                    .report(
                            ClassKeys.BACKEND_SERVERS,
                            located.value().backendServers(),
                            servers,
                            NO_SERVER);
        }
        Set<String> classes = draft.entryNames(ClassKeys.TABLE);
        for (Located<ClientAccount> located : draft.accounts().values()) {
            new ReferenceReport(located, faults)
                    .report(AccountKeys.CLASSES, located.value().classes(), classes, NO_CLASS);
        }
    }
}
