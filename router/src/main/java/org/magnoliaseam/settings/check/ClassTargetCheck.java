package org.magnoliaseam.settings.check;

import java.util.function.Consumer;
import org.magnoliaseam.settings.Fault;
import org.magnoliaseam.settings.RequestClass;
import org.magnoliaseam.settings.schema.ClassKeys;

/** Checks that a class names either models or a plain service. */
public final class ClassTargetCheck implements ConfigurationCheck {

    /** The reason for a class that names neither. */
    public static final String NEITHER = "names neither models nor a service";

    /** The reason for a class that names both. */
    public static final String BOTH = "names a service beside models; a class has one or the other";

    @Override
    public void check(ConfigurationDraft draft, Consumer<Fault> faults) {
        for (Located<RequestClass> located : draft.classes().values()) {
            RequestClass value = located.value();
            if (!value.models().isEmpty() && value.service().isPresent()) {
                faults.accept(located.fault(ClassKeys.SERVICE, BOTH));
            }
            boolean neither = value.models().isEmpty() && value.service().isEmpty();
            if (neither && located.complete()) {
                faults.accept(located.fault(NEITHER));
            }
        }
    }
}
