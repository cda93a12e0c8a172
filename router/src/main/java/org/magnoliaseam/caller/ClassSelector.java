package org.magnoliaseam.caller;

import java.util.Optional;
import org.magnoliaseam.error.ErrorKind;
import org.magnoliaseam.error.Refusal;
import org.magnoliaseam.error.Result;
import org.magnoliaseam.model.Identifiers;
import org.magnoliaseam.model.ModelId;
import org.magnoliaseam.model.RequestClassId;
import org.magnoliaseam.model.ServiceName;
import org.magnoliaseam.settings.ClientAccount;
import org.magnoliaseam.settings.Configuration;
import org.magnoliaseam.settings.RequestClass;

/** Finds the request class of a request. */
final class ClassSelector {

    /** The current configuration. */
    private final Configuration mConfiguration;

    /** The client account. */
    private final ClientAccount mAccount;

    /** The class named in the request; null if none. */
    private final String mClassName;

    /**
     * Creates a selector.
     *
     * @param configuration the current configuration
     * @param account the client account
     * @param className the class named in the request; null if none
     */
    ClassSelector(Configuration configuration, ClientAccount account, String className) {
        mConfiguration = configuration;
        mAccount = account;
        mClassName = className;
    }

    /**
     * Finds the class of a chat request.
     *
     * @param model the requested model
     * @return the class, or the refusal
     */
    Result<RequestClass, Refusal> forModel(ModelId model) {
        if (mClassName == null && mAccount.defaultClass().isEmpty()) {
            return refuse(ErrorKind.UNKNOWN_CLASS);
        }
        String name = mClassName != null ? mClassName : mAccount.defaultClass().get().value();
        Result<RequestClass, Refusal> found = findClass(name);
        if (found instanceof Result.Ok<RequestClass, Refusal> ok
                && !ok.value().models().contains(model)) {
            return refuse(ErrorKind.UNKNOWN_MODEL);
        }
        return found;
    }

    /**
     * Finds the class of a plain-service request.
     *
     * @param service the service
     * @param method the HTTP method
     * @return the class, or the refusal
     */
    Result<RequestClass, Refusal> forService(ServiceName service, String method) {
        if (mClassName != null) {
            Result<RequestClass, Refusal> found = findClass(mClassName);
            if (found instanceof Result.Ok<RequestClass, Refusal> ok
                    && !serves(ok.value(), service, method)) {
                return refuse(ErrorKind.UNKNOWN_SERVICE);
            }
            return found;
        }
        Optional<RequestClass> match =
                mConfiguration.classes().values().stream()
                        .filter(candidate -> serves(candidate, service, method))
                        .findFirst();
        if (match.isEmpty()) {
            return refuse(ErrorKind.UNKNOWN_SERVICE);
        }
        return allowed(match.get());
    }

    /**
     * Finds a class by its name and checks that the account may use it.
     *
     * @param name the name
     * @return the class, or the refusal
     */
    Result<RequestClass, Refusal> findClass(String name) {
        if (!Identifiers.isValid(name)) {
            return refuse(ErrorKind.UNKNOWN_CLASS);
        }
        RequestClass found = mConfiguration.classes().get(new RequestClassId(name));
        return found == null ? refuse(ErrorKind.UNKNOWN_CLASS) : allowed(found);
    }

    /**
     * Returns whether a class covers a service and method.
     *
     * @param candidate the class
     * @param service the service
     * @param method the HTTP method
     * @return true if it does
     */
    private static boolean serves(RequestClass candidate, ServiceName service, String method) {
        return candidate.service().equals(Optional.of(service))
                && candidate.methods().contains(method);
    }

    /**
     * Checks that the account may use a class.
     *
     * @param found the class
     * @return the class, or the refusal
     */
    private Result<RequestClass, Refusal> allowed(RequestClass found) {
        return mAccount.classes().contains(found.id())
                ? Result.ok(found)
                : refuse(ErrorKind.CLASS_FORBIDDEN);
    }

    /**
     * Creates a refusal.
     *
     * @param kind the kind
     * @return the refusal
     */
    private static Result<RequestClass, Refusal> refuse(ErrorKind kind) {
        return Result.err(Refusal.of(kind));
    }
}
