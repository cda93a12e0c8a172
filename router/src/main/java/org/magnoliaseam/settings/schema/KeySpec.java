package org.magnoliaseam.settings.schema;

/**
 * Describes one key of a settings file.
 *
 * @param name the key within its table
 * @param type reads the value
 * @param scope the files that may set the key
 * @param required whether the key must be present
 * @param fallback the default; for a required key, the placeholder that is used while other faults
 *     are collected
 * @param <T> the type of the value
 */
public record KeySpec<T>(
        String name, ValueType<T> type, Scope scope, boolean required, T fallback) {

    /**
     * Describes a required key.
     *
     * @param name the key within its table
     * @param type reads the value
     * @param scope the files that may set the key
     * @param placeholder the value used for a missing key while other faults are collected
     * @param <T> the type of the value
     * @return the description
     */
    public static <T> KeySpec<T> required(
            String name, ValueType<T> type, Scope scope, T placeholder) {
        return new KeySpec<>(name, type, scope, true, placeholder);
    }

    /**
     * Describes an optional key.
     *
     * @param name the key within its table
     * @param type reads the value
     * @param scope the files that may set the key
     * @param fallback the default
     * @param <T> the type of the value
     * @return the description
     */
    public static <T> KeySpec<T> optional(String name, ValueType<T> type, Scope scope, T fallback) {
        return new KeySpec<>(name, type, scope, false, fallback);
    }
}
