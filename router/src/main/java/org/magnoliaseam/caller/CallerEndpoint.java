package org.magnoliaseam.caller;

import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Lists the endpoints for callers. */
enum CallerEndpoint {
    /** Runs chat completions. */
    CHAT("POST", Pattern.compile("/v1/chat/completions")),
    /** Lists models. */
    MODELS("GET", Pattern.compile("/v1/models")),
    /** Issues tickets. */
    TICKETS("POST", Pattern.compile("/v1/tickets")),
    /** Runs requests of plain services. */
    SERVICE("", Pattern.compile("/services/([A-Za-z0-9._-]+)(/.*)?"));

    /** The accepted method; empty if every method is accepted. */
    private final String mMethod;

    /** The accepted paths. */
    private final Pattern mPath;

    /**
     * Creates an endpoint.
     *
     * @param method the accepted method; empty if every method is accepted
     * @param path the accepted paths
     */
    CallerEndpoint(String method, Pattern path) {
        mMethod = method;
        mPath = path;
    }

    /**
     * Finds the endpoint of a path.
     *
     * @param path the path without query
     * @return the endpoint; empty if the path is unknown
     */
    static Optional<CallerEndpoint> find(String path) {
        for (CallerEndpoint endpoint : values()) {
            if (endpoint.mPath.matcher(path).matches()) {
                return Optional.of(endpoint);
            }
        }
        return Optional.empty();
    }

    /**
     * Returns whether the endpoint accepts a method.
     *
     * @param method the HTTP method
     * @return true if it is accepted
     */
    boolean takes(String method) {
        return mMethod.isEmpty() || mMethod.equals(method);
    }

    /**
     * Returns the name of the plain service in a path.
     *
     * @param path the path without query
     * @return the name; empty if the path names no plain service
     */
    String serviceName(String path) {
        Matcher matcher = mPath.matcher(path);
        return matcher.matches() && matcher.groupCount() > 0 ? matcher.group(1) : "";
    }
}
