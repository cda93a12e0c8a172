package org.magnoliaseam.platform;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.magnoliaseam.catalog.Account;
import org.magnoliaseam.catalog.AccountDirectory;
import org.magnoliaseam.catalog.CacheTransfer;
import org.magnoliaseam.catalog.CallerLimits;
import org.magnoliaseam.catalog.Catalog;
import org.magnoliaseam.catalog.EngineCapacity;
import org.magnoliaseam.catalog.RequestKind;
import org.magnoliaseam.catalog.Route;
import org.magnoliaseam.catalog.Service;
import org.magnoliaseam.catalog.WeightedService;
import org.magnoliaseam.error.Result;
import org.magnoliaseam.model.ClientAccountId;
import org.magnoliaseam.model.Identifiers;
import org.magnoliaseam.model.ServiceName;

/** Decodes the configuration that the platform publishes. */
final class CatalogDecoder {

    /** The largest accepted request body if no limit is published, in bytes. */
    private static final int DEFAULT_BODY_BYTES = 4 * 1024 * 1024;

    /** The idle timeout of connections if none is published, in milliseconds. */
    private static final long DEFAULT_IDLE_MILLIS = 15_000;

    /** The shortest time after which callers give up a stream without an event, in milliseconds. */
    private static final long MIN_STREAM_PATIENCE_MILLIS = 2000;

    /** The patience of callers of a stream, as a multiple of the target for the first event. */
    private static final long PATIENCE_TARGETS = 4;

    /** The patience of callers of a stream, as a multiple of the target for pauses. */
    private static final long PATIENCE_PAUSES = 8;

    /** Milliseconds per second. */
    private static final double MILLIS_PER_SECOND = 1000;

    /** Logs what is left out of a configuration. */
    private static final Logger LOG = LogManager.getLogger("store");

    /** Parses JSON. */
    private static final ObjectMapper MAPPER = new ObjectMapper();

    /** Prevents instances of this utility class. */
    private CatalogDecoder() {}

    /**
     * Decodes a configuration.
     *
     * @param bytes the published bytes
     * @return the catalog, or an error message that names the invalid key
     */
    static Result<Catalog, String> decode(byte[] bytes) {
        try {
            JsonNode root = MAPPER.readTree(bytes);
            return Result.ok(catalog(root));
        } catch (IOException e) {
            return Result.err("not JSON");
        } catch (IllegalArgumentException e) {
            return Result.err(e.getMessage());
        }
    }

    /**
     * Converts the configuration to a catalog.
     *
     * @param root the configuration
     * @return the catalog
     */
    private static Catalog catalog(JsonNode root) {
        List<Route> routes = new ArrayList<>();
        for (JsonNode node : root.path("routes")) {
            routes.add(route(node));
        }
        List<Service> services = new ArrayList<>();
        for (JsonNode node : root.path("services")) {
            services.add(service(node));
        }
        JsonNode limits = root.path("limits");
        CallerLimits callerLimits =
                new CallerLimits(
                        limits.path("max_body_bytes").asInt(DEFAULT_BODY_BYTES),
                        limits.path("idle_timeout_ms").asLong(DEFAULT_IDLE_MILLIS));
        return new Catalog(
                (long) number(root, "version"), routes, services, accounts(root), callerLimits);
    }

    /**
     * Converts a route.
     *
     * @param node the JSON object of the route
     * @return the route
     */
    private static Route route(JsonNode node) {
        long timeout = (long) number(node, "timeout_ms");
        long target = node.path("target_latency_ms").asLong(timeout);
        long pause = node.path("gap_target_ms").asLong(0);
        RequestKind kind = kind(text(node, "kind"));
        return new Route(
                node.path("name").asText(),
                text(node, "host").toLowerCase(Locale.ROOT),
                text(node, "prefix"),
                kind,
                shares(node),
                Math.max(1, node.path("max_attempts").asInt(1)),
                timeout,
                kind.streamed() ? Math.min(timeout, streamPatience(target, pause)) : timeout,
                target,
                pause,
                node.path("priority").asInt(0),
                node.path("public").asBoolean(),
                node.path("stream_resumption").asBoolean());
    }

    /**
     * Returns the time after which the platform's callers give up a stream without an event.
     *
     * @param target the target for the first event in milliseconds
     * @param pause the target for the longest pause between events in milliseconds
     * @return the time in milliseconds
     */
    private static long streamPatience(long target, long pause) {
        return Math.max(
                MIN_STREAM_PATIENCE_MILLIS,
                Math.max(PATIENCE_TARGETS * target, PATIENCE_PAUSES * pause));
    }

    /**
     * Converts the kind of a route; unknown words count as requests that may run only once.
     *
     * @param word the published word
     * @return the kind
     */
    private static RequestKind kind(String word) {
        return switch (word) {
            case "safe" -> RequestKind.REPEATABLE;
            case "stream" -> RequestKind.STREAM;
            default -> RequestKind.ONCE;
        };
    }

    /**
     * Reads the services among which a route splits its requests.
     *
     * @param node the JSON object of the route
     * @return the services with their weights
     */
    private static List<WeightedService> shares(JsonNode node) {
        List<WeightedService> shares = new ArrayList<>();
        for (JsonNode share : node.path("traffic_split")) {
            double weight = share.path("weight").asDouble();
            if (weight > 0) {
                shares.add(new WeightedService(new ServiceName(text(share, "service")), weight));
            }
        }
        if (shares.isEmpty()) {
            shares.add(new WeightedService(new ServiceName(text(node, "service")), 1));
        }
        return List.copyOf(shares);
    }

    /**
     * Converts a service.
     *
     * @param node the JSON object of the service
     * @return the service
     */
    private static Service service(JsonNode node) {
        JsonNode engine = node.path("engine");
        Optional<EngineCapacity> capacity =
                engine.isObject()
                        ? Optional.of(
                                new EngineCapacity(
                                        engine.path("slots").asInt(),
                                        engine.path("kv_capacity_tokens").asLong(),
                                        transfer(engine)))
                        : Optional.empty();
        return new Service(
                new ServiceName(text(node, "name")),
                node.path("max_connections").asInt(),
                node.path("cold_per_s").asDouble(),
                (long) (node.path("cold_start_s").asDouble() * MILLIS_PER_SECOND),
                capacity);
    }

    /**
     * Reads what a transfer of cached prompt parts costs.
     *
     * @param engine the JSON object of the engine
     * @return the cost; empty if the engine offers no transfers
     */
    private static Optional<CacheTransfer> transfer(JsonNode engine) {
        long bytes = engine.path("kv_bytes").asLong();
        double bandwidth = engine.path("link_mbps").asDouble();
        return bytes > 0 && bandwidth > 0 && Double.isFinite(bandwidth)
                ? Optional.of(new CacheTransfer(bytes, bandwidth))
                : Optional.empty();
    }

    /**
     * Reads the client accounts. One whose name cannot be sent to backend servers is left out, so
     * that its keys are unknown and the others are in force.
     *
     * @param root the configuration
     * @return the accounts by API key
     */
    private static AccountDirectory accounts(JsonNode root) {
        JsonNode tenants = root.path("tenants");
        if (tenants.isMissingNode() || tenants.isNull()) {
            return AccountDirectory.NONE;
        }
        if (!tenants.isArray()) {
            throw new IllegalArgumentException("tenants is not a list");
        }
        Map<String, Account> accounts = new HashMap<>();
        for (int i = 0; i < tenants.size(); i++) {
            JsonNode node = tenants.get(i);
            JsonNode name = node.path("name");
            if (!name.isTextual() || !Identifiers.isText(name.asText())) {
                LOG.warn(
                        "store: client account left out, field=tenants[{}].name reason={}",
                        i,
                        "no text for a header field");
                continue;
            }
            JsonNode rank = node.path("priority");
            OptionalInt priority =
                    rank.canConvertToInt() ? OptionalInt.of(rank.asInt()) : OptionalInt.empty();
            Account account = new Account(new ClientAccountId(name.asText()), priority);
            for (JsonNode key : node.path("api_keys")) {
                accounts.put(key.asText(), account);
            }
        }
        return AccountDirectory.of(accounts);
    }

    /**
     * Reads a required string.
     *
     * @param node the JSON object
     * @param key the key
     * @return the string
     */
    private static String text(JsonNode node, String key) {
        JsonNode value = node.path(key);
        if (!value.isTextual()) {
            throw new IllegalArgumentException(key + " is not a string");
        }
        return value.asText();
    }

    /**
     * Reads a required number.
     *
     * @param node the JSON object
     * @param key the key
     * @return the number
     */
    private static double number(JsonNode node, String key) {
        JsonNode value = node.path(key);
        if (!value.isNumber()) {
            throw new IllegalArgumentException(key + " is not a number");
        }
        return value.asDouble();
    }
}
