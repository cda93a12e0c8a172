package org.magnoliaseam.settings.check;

import java.util.function.Consumer;
import org.magnoliaseam.model.RequestClassId;
import org.magnoliaseam.settings.ClientAccount;
import org.magnoliaseam.settings.Fault;
import org.magnoliaseam.settings.RequestClass;
import org.magnoliaseam.settings.schema.AccountKeys;

/** Checks that the default class of an account is one of its classes and accepts chat requests. */
public final class DefaultClassCheck implements ConfigurationCheck {

    /** The reason for a default class that the account may not use. */
    public static final String NOT_ALLOWED = "names class \"%s\", which is not among its classes";

    /** The reason for a default class that does not accept chat requests. */
    public static final String NO_MODELS = "names class \"%s\", which has no models";

    @Override
    public void check(ConfigurationDraft draft, Consumer<Fault> faults) {
        for (Located<ClientAccount> located : draft.accounts().values()) {
            located.value()
                    .defaultClass()
                    .ifPresent(id -> checkDefault(draft, located, id, faults));
        }
    }

    /**
     * Checks the default class of one account.
     *
     * @param draft the merged configuration
     * @param located the account
     * @param id the default class
     * @param faults receives the fault
     */
    private static void checkDefault(
            ConfigurationDraft draft,
            Located<ClientAccount> located,
            RequestClassId id,
            Consumer<Fault> faults) {
        if (located.complete() && !located.value().classes().contains(id)) {
            faults.accept(located.fault(AccountKeys.DEFAULT_CLASS, NOT_ALLOWED.formatted(id)));
            return;
        }
        Located<RequestClass> found = draft.classes().get(id);
        if (found != null && found.complete() && found.value().models().isEmpty()) {
            faults.accept(located.fault(AccountKeys.DEFAULT_CLASS, NO_MODELS.formatted(id)));
        }
    }
}
