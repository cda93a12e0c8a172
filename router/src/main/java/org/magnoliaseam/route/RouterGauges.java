package org.magnoliaseam.route;

import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;
import java.util.function.IntSupplier;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import java.util.function.ToIntFunction;
import org.magnoliaseam.fleet.FleetView;
import org.magnoliaseam.fleet.TierLoad;
import org.magnoliaseam.model.Tier;
import org.magnoliaseam.operator.RouterStatus;

/** Registers the gauges of a router process. Their number does not depend on the requests. */
public final class RouterGauges {

    /** The metrics. */
    private final MetricRegistry mMetrics;

    /** Reads the state of the process. */
    private final Supplier<RouterStatus> mStatus;

    /**
     * Registers the gauges.
     *
     * @param metrics the metrics
     * @param status reads the state of the process
     * @param firstAttempts returns the number of first attempts since the start
     * @param retries returns the number of retries since the start
     * @param tickets returns the number of tickets in the ledger
     */
    public RouterGauges(
            MetricRegistry metrics,
            Supplier<RouterStatus> status,
            LongSupplier firstAttempts,
            LongSupplier retries,
            IntSupplier tickets) {
        mMetrics = metrics;
        mStatus = status;
        for (int rank = 1; rank <= Tier.LOWEST_RANK; rank++) {
            Tier tier = new Tier(rank);
            register("tier." + rank + ".queued", () -> sum(tier, TierLoad::queued));
            register("tier." + rank + ".running", () -> sum(tier, TierLoad::running));
        }
        register(
                "peers.heard",
                () -> mStatus.get().view().map(view -> view.peers().size()).orElse(0));
        register("servers.warm", () -> servers(false));
        register("servers.cold", () -> servers(true));
        register("tickets.open", tickets::getAsInt);
        register("tries.first", firstAttempts::getAsLong);
        register("tries.retries", retries::getAsLong);
        register("requests.active", () -> mStatus.get().activeRequests());
        register("process.pauses", () -> mStatus.get().pauses());
        register("configuration.version", () -> mStatus.get().configurationVersion());
        register("memory.used_bytes", RouterGauges::usedBytes);
    }

    /**
     * Returns the metrics with the gauges.
     *
     * @return the metrics
     */
    public MetricRegistry registry() {
        return mMetrics;
    }

    /**
     * Registers a gauge.
     *
     * @param name the name
     * @param value reads the value
     */
    private void register(String name, Gauge<Number> value) {
        mMetrics.register(name, value);
    }

    /**
     * Sums a number over the entries of a tier.
     *
     * @param tier the tier
     * @param number reads the number
     * @return the sum
     */
    private int sum(Tier tier, ToIntFunction<TierLoad> number) {
        return mStatus.get().pressure().stream()
                .filter(pressure -> pressure.tier().equals(tier))
                .mapToInt(number)
                .sum();
    }

    /**
     * Counts backend servers.
     *
     * @param cold true to count cold servers, false to count warm ones
     * @return the number
     */
    private int servers(boolean cold) {
        FleetView view = mStatus.get().view().orElse(null);
        if (view == null) {
            return 0;
        }
        return (int)
                view.servers().values().stream().filter(server -> cold == server.cold()).count();
    }

    /**
     * Returns the heap memory in use.
     *
     * @return bytes
     */
    private static long usedBytes() {
        Runtime runtime = Runtime.getRuntime();
        return runtime.totalMemory() - runtime.freeMemory();
    }
}
