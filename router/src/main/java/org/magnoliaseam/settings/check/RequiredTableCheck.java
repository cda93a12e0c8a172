package org.magnoliaseam.settings.check;

import java.util.List;
import java.util.function.Consumer;
import org.magnoliaseam.settings.Fault;
import org.magnoliaseam.settings.schema.AccountKeys;
import org.magnoliaseam.settings.schema.BackendServerKeys;
import org.magnoliaseam.settings.schema.ClassKeys;
import org.magnoliaseam.settings.schema.TableSpec;

/** Checks that at least one class, backend server and account is defined. */
public final class RequiredTableCheck implements ConfigurationCheck {

    /** The reason for a table without entries. */
    public static final String EMPTY = "needs at least one entry";

    /** The tables that need an entry. */
    private static final List<TableSpec> TABLES =
            List.of(ClassKeys.TABLE, BackendServerKeys.TABLE, AccountKeys.TABLE);

    @Override
    public void check(ConfigurationDraft draft, Consumer<Fault> faults) {
        for (TableSpec table : TABLES) {
            if (draft.root().section(table.name()).entries().isEmpty()) {
                faults.accept(draft.root().locationOf(table.name()).fault(table.name(), EMPTY));
            }
        }
    }
}
