package org.magnoliaseam.error;

import java.util.function.Function;

/**
 * Holds either a value or the error that prevented it.
 *
 * @param <T> the type of the value
 * @param <E> the type of the error
 */
public sealed interface Result<T, E> {

    /**
     * Holds a value.
     *
     * @param value the value
     * @param <T> the type of the value
     * @param <E> the type of the error
     */
    record Ok<T, E>(T value) implements Result<T, E> {}

    /**
     * Holds the error that prevented a value.
     *
     * @param error the error
     * @param <T> the type of the value
     * @param <E> the type of the error
     */
    record Err<T, E>(E error) implements Result<T, E> {}

    /**
     * Creates a result with a value.
     *
     * @param value the value
     * @param <T> the type of the value
     * @param <E> the type of the error
     * @return the result
     */
    static <T, E> Result<T, E> ok(T value) {
        return new Ok<>(value);
    }

    /**
     * Creates a result with an error.
     *
     * @param error the error
     * @param <T> the type of the value
     * @param <E> the type of the error
     * @return the result
     */
    static <T, E> Result<T, E> err(E error) {
        return new Err<>(error);
    }

    /**
     * Converts both cases to one type.
     *
     * @param onOk converts the value
     * @param onErr converts the error
     * @param <R> the common type
     * @return the result of the function that was applied
     */
    default <R> R fold(
            Function<? super T, ? extends R> onOk, Function<? super E, ? extends R> onErr) {
        if (this instanceof Ok<T, E> ok) {
            return onOk.apply(ok.value());
        }
        return onErr.apply(((Err<T, E>) this).error());
    }
}
