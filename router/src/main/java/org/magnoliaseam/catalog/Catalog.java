package org.magnoliaseam.catalog;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.magnoliaseam.model.ServiceName;

/** Holds one published version of routes, services, client accounts and limits. */
public final class Catalog {

    /** The version; a higher one replaces a lower one. */
    private final long mVersion;

    /** The routes by host and prefix. */
    private final Map<String, Map<String, Route>> mRoutes = new HashMap<>();

    /** The services by name. */
    private final Map<ServiceName, Service> mServices = new HashMap<>();

    /** The client accounts. */
    private final AccountDirectory mAccounts;

    /** The limits for callers. */
    private final CallerLimits mLimits;

    /**
     * Creates a version of the catalog.
     *
     * @param version the version
     * @param routes the routes
     * @param services the services
     * @param accounts the client accounts
     * @param limits the limits for callers
     */
    public Catalog(
            long version,
            List<Route> routes,
            List<Service> services,
            AccountDirectory accounts,
            CallerLimits limits) {
        mVersion = version;
        for (Route route : routes) {
            mRoutes.computeIfAbsent(route.host(), host -> new HashMap<>())
                    .put(route.prefix(), route);
        }
        for (Service service : services) {
            mServices.put(service.name(), service);
        }
        mAccounts = accounts;
        mLimits = limits;
    }

    /**
     * Returns the version.
     *
     * @return the version
     */
    public long version() {
        return mVersion;
    }

    /**
     * Finds the route with the longest prefix of a path.
     *
     * @param host the host in lower case
     * @param path the path without query
     * @return the route, if there is one
     */
    public Optional<Route> route(String host, String path) {
        Map<String, Route> routes = mRoutes.getOrDefault(host, Map.of());
        int slash = path.lastIndexOf('/');
        while (slash >= 0) {
            Route route = routes.get(path.substring(0, slash + 1));
            if (route != null) {
                return Optional.of(route);
            }
            slash = slash == 0 ? -1 : path.lastIndexOf('/', slash - 1);
        }
        return Optional.empty();
    }

    /**
     * Returns a service.
     *
     * @param name the service
     * @return the service, if it is published
     */
    public Optional<Service> service(ServiceName name) {
        return Optional.ofNullable(mServices.get(name));
    }

    /**
     * Returns the client accounts.
     *
     * @return the client accounts
     */
    public AccountDirectory accounts() {
        return mAccounts;
    }

    /**
     * Returns the limits for callers.
     *
     * @return the limits
     */
    public CallerLimits limits() {
        return mLimits;
    }

    /**
     * Returns the number of routes.
     *
     * @return the number of routes, over all hosts
     */
    public int routeCount() {
        return mRoutes.values().stream().mapToInt(Map::size).sum();
    }
}
