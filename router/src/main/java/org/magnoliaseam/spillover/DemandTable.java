package org.magnoliaseam.spillover;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.magnoliaseam.model.FailureDomain;

/**
 * Holds the latest reports of demand of the other entry VMs. Not thread-safe.
 *
 * @param <P> the type that identifies an entry VM
 */
public final class DemandTable<P> {

    /** The validity of a report as a multiple of the time in which an entry VM reports to all. */
    private static final double VALID_ROUNDS = 2.5;

    /** The lower bound of the validity of a report, in nanoseconds. */
    private static final long MIN_VALID_NANOS = 700_000_000L;

    /** The latest report of each entry VM. */
    private final Map<P, Report> mReports = new LinkedHashMap<>();

    /**
     * Holds the report of an entry VM.
     *
     * @param demands its demands
     * @param nanos the local monotonic time of its arrival
     */
    private record Report(List<DomainDemand> demands, long nanos) {}

    /** Sums the reports of one failure domain. */
    private static final class Sum {

        /** The number of backend servers. */
        private int mServers;

        /** The demand in servers. */
        private double mDemand;

        /** Whether any entry VM has reported. */
        private boolean mHeard;

        /** The work that is sent to each other failure domain, in servers. */
        private final Map<FailureDomain, Double> mSent = new LinkedHashMap<>();

        /**
         * Adds a report.
         *
         * @param demand the demand of an entry VM
         */
        void add(DomainDemand demand) {
            mHeard = true;
            mDemand += demand.servers();
            demand.sent().forEach(part -> mSent.merge(part.to(), part.servers(), Double::sum));
        }

        /**
         * Returns the sum.
         *
         * @param domain the failure domain
         * @return what is known of it
         */
        DomainLoad load(FailureDomain domain) {
            List<Crossing> sent = new ArrayList<>();
            mSent.forEach((to, servers) -> sent.add(new Crossing(to, servers)));
            return new DomainLoad(domain, mServers, mDemand, mHeard, sent);
        }
    }

    /**
     * Replaces the report of an entry VM.
     *
     * @param peer the entry VM
     * @param demands its demands; empty if it reports none
     * @param nowNanos the local monotonic time
     */
    public void heard(P peer, List<DomainDemand> demands, long nowNanos) {
        if (demands.isEmpty()) {
            mReports.remove(peer);
        } else {
            mReports.put(peer, new Report(demands, nowNanos));
        }
    }

    /**
     * Drops reports that are too old.
     *
     * @param roundNanos the time in which an entry VM reports to all others, in nanoseconds
     * @param nowNanos the local monotonic time
     */
    public void expire(long roundNanos, long nowNanos) {
        double valid = Math.max(MIN_VALID_NANOS, VALID_ROUNDS * roundNanos);
        mReports.values().removeIf(report -> nowNanos - report.nanos() > valid);
    }

    /**
     * Returns what is known of each failure domain for a service.
     *
     * @param own the demand at this entry VM
     * @param capacities the failure domains that have backend servers in service
     * @return the failure domains with backend servers or demand
     */
    public List<DomainLoad> loads(DomainDemand own, List<DomainCapacity> capacities) {
        Map<FailureDomain, Sum> sums = new LinkedHashMap<>();
        for (DomainCapacity capacity : capacities) {
            sum(sums, capacity.domain()).mServers += capacity.servers();
        }
        sum(sums, own.domain()).add(own);
        for (Report report : mReports.values()) {
            for (DomainDemand demand : report.demands()) {
                if (demand.service().equals(own.service())) {
                    sum(sums, demand.domain()).add(demand);
                }
            }
        }
        List<DomainLoad> loads = new ArrayList<>();
        sums.forEach((domain, sum) -> loads.add(sum.load(domain)));
        return loads;
    }

    /**
     * Returns the sum of a failure domain.
     *
     * @param sums the sums so far
     * @param domain the failure domain
     * @return the sum
     */
    private static Sum sum(Map<FailureDomain, Sum> sums, FailureDomain domain) {
        return sums.computeIfAbsent(domain, name -> new Sum());
    }
}
