package org.magnoliaseam.testbed.harness;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.Map;
import org.magnoliaseam.testbed.http.ListenAddress;
import org.magnoliaseam.testbed.proxy.FaultProxy;
import org.magnoliaseam.testbed.proxy.LinkFaults;

/** Holds the fault proxies of a site. Without proxies, members connect to each other directly. */
public final class SiteLinks implements AutoCloseable {

    /** Whether links pass through proxies. */
    private final boolean mProxied;

    /** The proxies by link. */
    private final Map<Link, FaultProxy> mProxies = new LinkedHashMap<>();

    /**
     * Creates the links of a site.
     *
     * @param proxied whether links pass through proxies
     */
    SiteLinks(boolean proxied) {
        mProxied = proxied;
    }

    /**
     * Returns the proxy of a link.
     *
     * @param from the name of the member that connects, or {@code *} for links to backend servers
     * @param to the name of the member that listens
     * @return the proxy
     * @throws IllegalArgumentException if there is none
     */
    public FaultProxy between(String from, String to) {
        FaultProxy proxy = mProxies.get(new Link(from, to));
        if (proxy == null) {
            throw new IllegalArgumentException("No proxy from " + from + " to " + to);
        }
        return proxy;
    }

    /**
     * Injects the same faults in all links between two groups of members, in both directions.
     *
     * @param first the names of the members of the first group
     * @param second the names of the members of the second group
     * @param faults the faults
     */
    public void apply(Collection<String> first, Collection<String> second, LinkFaults faults) {
        mProxies.forEach(
                (link, proxy) -> {
                    if (link.connects(first, second)) {
                        proxy.apply(faults);
                    }
                });
    }

    /** Removes all faults. */
    public void heal() {
        mProxies.values().forEach(FaultProxy::heal);
    }

    @Override
    public void close() {
        mProxies.values().forEach(FaultProxy::close);
    }

    /**
     * Returns the address by which a member reaches another.
     *
     * @param from the name of the member that connects
     * @param to the name of the member that listens
     * @param target the address that the other listens on
     * @return the address of the proxy or of the target itself
     */
    ListenAddress route(String from, String to, ListenAddress target) {
        if (!mProxied) {
            return target;
        }
        return mProxies.computeIfAbsent(new Link(from, to), link -> open(target)).address();
    }

    /**
     * Starts a proxy.
     *
     * @param target the target
     * @return the proxy
     */
    private static FaultProxy open(ListenAddress target) {
        try {
            return new FaultProxy(Ports.free(), target);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /**
     * Names a link.
     *
     * @param from the name of the member that connects
     * @param to the name of the member that listens
     */
    private record Link(String from, String to) {

        /**
         * Tells whether the link connects two groups.
         *
         * @param first the names of the members of the first group
         * @param second the names of the members of the second group
         * @return whether one end is in each group, in either direction
         */
        boolean connects(Collection<String> first, Collection<String> second) {
            return first.contains(from) && second.contains(to)
                    || second.contains(from) && first.contains(to);
        }
    }
}
