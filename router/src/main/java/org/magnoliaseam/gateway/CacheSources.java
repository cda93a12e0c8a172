package org.magnoliaseam.gateway;

import java.util.List;
import java.util.Optional;
import org.magnoliaseam.catalog.CacheTransfer;
import org.magnoliaseam.catalog.EngineCapacity;
import org.magnoliaseam.catalog.ServerEntry;
import org.magnoliaseam.placement.PrefixFetch;

/**
 * Finds the engine from which another engine fetches cached prompt parts. Fetches are made only
 * where a hot part cannot stay on one engine, because the entry VMs contend for the engines.
 * Guarded by the lock of the server pool.
 */
final class CacheSources {

    /** The rate of failed attempts from which on an engine is no source. */
    private static final double MAX_FAILURE_RATE = 0.5;

    /** Divides limits that apply to all entry VMs together. */
    private final VmShares mShares;

    /**
     * Creates the search.
     *
     * @param shares knows the entry VMs
     */
    CacheSources(VmShares shares) {
        mShares = shares;
    }

    /**
     * Holds the work that a prompt means for an engine.
     *
     * @param tokens the prompt tokens that the engine has to process, where the time of a fetch
     *     counts as the tokens processed in that time
     * @param source the engine from which it fetches cached prompt parts, if any
     */
    record PromptWork(long tokens, Optional<ServerEntry> source) {

        /**
         * Describes the source for the log.
         *
         * @return a short text; empty if nothing is fetched
         */
        String text() {
            return source.map(entry -> " cache_from=" + entry.id()).orElse("");
        }
    }

    /**
     * Holds how much of a prompt the engines of a service cache.
     *
     * @param leastTokens the uncached tokens at the engine that caches most of the prompt
     * @param transfer the cost of transfers; empty if nothing is fetched
     */
    record Reach(long leastTokens, Optional<CacheTransfer> transfer) {

        /** Fetches nothing. */
        static final Reach NONE = new Reach(0, Optional.empty());

        /**
         * Determines the work of a prompt on an engine if it fetches what another one caches.
         *
         * @param prompt the prompt
         * @param state the engine
         * @param nowNanos the local monotonic time
         * @return the prompt tokens that it has to process, where the time of a fetch counts as the
         *     tokens processed in that time
         */
        long tokens(Prompt prompt, BackendServerState state, long nowNanos) {
            long own = state.uncachedTokens(prompt);
            if (transfer.isEmpty() || own <= prompt.ownTokens() || own <= leastTokens) {
                return own;
            }
            double transferMillis = transfer.get().millis(own - leastTokens);
            ServerTimes times = state.times();
            double processing = times.processingMillis(own - leastTokens, nowNanos);
            return PrefixFetch.pays(transferMillis, processing)
                    ? leastTokens + times.tokensWithin(PrefixFetch.millis(transferMillis), nowNanos)
                    : own;
        }
    }

    /**
     * Determines how much of a prompt the engines of a service cache.
     *
     * @param request the request
     * @param present the backend servers of the service that are in service
     * @param nowNanos the local monotonic time
     * @return what an engine can fetch
     */
    Reach reach(GatewayRequest request, List<BackendServerState> present, long nowNanos) {
        Optional<CacheTransfer> transfer =
                request.service().engine().flatMap(EngineCapacity::transfer);
        if (transfer.isEmpty() || present.isEmpty() || !mShares.contended(present.get(0))) {
            return Reach.NONE;
        }
        long least = Long.MAX_VALUE;
        for (BackendServerState state : present) {
            if (mayServe(state, nowNanos)) {
                least = Math.min(least, state.uncachedTokens(request.prompt()));
            }
        }
        return new Reach(least, transfer);
    }

    /**
     * Determines the work of a prompt on an engine.
     *
     * @param request the request
     * @param chosen the engine
     * @param present the backend servers of the service that are in service
     * @param nowNanos the local monotonic time
     * @return the work, with the source that leaves the least; one in the same failure domain if
     *     there is one
     */
    PromptWork work(
            GatewayRequest request,
            BackendServerState chosen,
            List<BackendServerState> present,
            long nowNanos) {
        Reach reach = reach(request, present, nowNanos);
        long own = chosen.uncachedTokens(request.prompt());
        long tokens = reach.tokens(request.prompt(), chosen, nowNanos);
        if (tokens == own) {
            return new PromptWork(own, Optional.empty());
        }
        BackendServerState source = null;
        for (BackendServerState state : present) {
            if (mayServe(state, nowNanos)
                    && state.uncachedTokens(request.prompt()) == reach.leastTokens()
                    && (source == null || isCloser(state, chosen))) {
                source = state;
            }
        }
        return new PromptWork(tokens, Optional.ofNullable(source).map(BackendServerState::entry));
    }

    /**
     * Tells whether an engine is likely to answer a fetch.
     *
     * @param state the engine
     * @param nowNanos the local monotonic time
     * @return false if its recent attempts failed
     */
    private static boolean mayServe(BackendServerState state, long nowNanos) {
        return !state.failures().ejected(state.active(), nowNanos)
                && state.failures().rate() < MAX_FAILURE_RATE;
    }

    /**
     * Tells whether two engines are in the same failure domain.
     *
     * @param state an engine
     * @param chosen the other one
     * @return true if they are
     */
    private static boolean isCloser(BackendServerState state, BackendServerState chosen) {
        return state.entry().failureDomain().equals(chosen.entry().failureDomain());
    }
}
