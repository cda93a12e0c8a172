package org.magnoliaseam.settings.check;

import java.util.List;
import java.util.function.Consumer;
import org.magnoliaseam.settings.Fault;
import org.magnoliaseam.settings.RequestClass;
import org.magnoliaseam.settings.schema.ClassKeys;
import org.magnoliaseam.settings.schema.KeySpec;

/**
 * Checks that a class has the keys that its kind requires and none that belong to the other kind:
 * classes with models or classes with a service.
 */
public final class ClassKeysCheck implements ConfigurationCheck {

    /** The reason for a class with models that lacks a required key. */
    public static final String MODELS_NEED = "is required for a class with models";

    /** The reason for a class with a service that lacks a required key. */
    public static final String SERVICE_NEEDS = "is required for a class with a service";

    /** The reason for a key that only classes with models may have. */
    public static final String ONLY_MODELS = "is only for a class with models";

    /** The reason for a key that only classes with a service may have. */
    public static final String ONLY_SERVICE = "is only for a class with a service";

    /** The reason for a class with a service whose list of methods is empty. */
    public static final String NO_METHOD = "must list at least one method";

    /** The keys of classes with models. */
    private static final List<KeySpec<?>> MODEL_KEYS =
            List.of(ClassKeys.FIRST_TOKEN, ClassKeys.BETWEEN_TOKENS);

    /** The keys that a class with a service must have. */
    private static final List<KeySpec<?>> SERVICE_KEYS =
            List.of(ClassKeys.METHODS, ClassKeys.IDEMPOTENT);

    @Override
    public void check(ConfigurationDraft draft, Consumer<Fault> faults) {
        for (Located<RequestClass> located : draft.classes().values()) {
            boolean hasModels = located.sets(ClassKeys.MODELS);
            boolean hasService = located.sets(ClassKeys.SERVICE);
            if (hasModels && !hasService) {
                require(located, MODEL_KEYS, MODELS_NEED, faults);
                reject(located, ClassKeys.METHODS, ONLY_SERVICE, faults);
            }
            if (hasService && !hasModels) {
                checkService(located, faults);
            }
        }
    }

    /**
     * Checks a class with a service.
     *
     * @param located the class
     * @param faults receives every fault found
     */
    private static void checkService(Located<RequestClass> located, Consumer<Fault> faults) {
        require(located, SERVICE_KEYS, SERVICE_NEEDS, faults);
        MODEL_KEYS.forEach(key -> reject(located, key, ONLY_MODELS, faults));
        boolean empty = located.sets(ClassKeys.METHODS) && located.value().methods().isEmpty();
        if (empty && located.complete()) {
            faults.accept(located.fault(ClassKeys.METHODS, NO_METHOD));
        }
    }

    /**
     * Reports keys that are missing.
     *
     * @param located the class
     * @param keys the keys that the class needs
     * @param reason the reason to report
     * @param faults receives every fault found
     */
    private static void require(
            Located<RequestClass> located,
            List<KeySpec<?>> keys,
            String reason,
            Consumer<Fault> faults) {
        keys.stream()
                .filter(key -> !located.sets(key))
                .forEach(key -> faults.accept(located.fault(key, reason)));
    }

    /**
     * Reports a key that does not belong to the class.
     *
     * @param located the class
     * @param key the key
     * @param reason the reason to report
     * @param faults receives the fault
     */
    private static void reject(
            Located<RequestClass> located, KeySpec<?> key, String reason, Consumer<Fault> faults) {
        if (located.sets(key)) {
            faults.accept(located.fault(key, reason));
        }
    }
}
