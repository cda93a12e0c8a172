package org.magnoliaseam.settings.check;

import java.util.function.Consumer;
import org.magnoliaseam.settings.Fault;

/** Looks for one kind of fault in a merged configuration. */
@FunctionalInterface
public interface ConfigurationCheck {

    /**
     * Checks a configuration.
     *
     * @param draft the merged configuration
     * @param faults receives every fault found
     */
    void check(ConfigurationDraft draft, Consumer<Fault> faults);
}
