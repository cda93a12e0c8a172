package org.magnoliaseam.settings.check;

import java.util.HashMap;
import java.util.Map;
import java.util.function.Consumer;
import org.magnoliaseam.model.ClientAccountId;
import org.magnoliaseam.settings.ClientAccount;
import org.magnoliaseam.settings.Fault;
import org.magnoliaseam.settings.schema.AccountKeys;

/** Checks that no two accounts accept the same key. */
public final class DuplicateKeyCheck implements ConfigurationCheck {

    /** The reason for a key that another account also accepts. */
    public static final String DUPLICATE = "lists a hash that account \"%s\" lists too";

    @Override
    public void check(ConfigurationDraft draft, Consumer<Fault> faults) {
        Map<String, ClientAccountId> owners = new HashMap<>();
        for (Located<ClientAccount> located : draft.accounts().values()) {
            for (String hash : located.value().keyHashes()) {
                ClientAccountId owner = owners.putIfAbsent(hash, located.value().id());
                if (owner != null) {
                    String reason = DUPLICATE.formatted(owner);
                    faults.accept(located.itemFault(AccountKeys.KEY_HASHES, hash, reason));
                }
            }
        }
    }
}
