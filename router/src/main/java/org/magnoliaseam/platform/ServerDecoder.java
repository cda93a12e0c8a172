package org.magnoliaseam.platform;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.net.InetSocketAddress;
import org.magnoliaseam.catalog.ServerEntry;
import org.magnoliaseam.error.Result;
import org.magnoliaseam.model.BackendServerId;
import org.magnoliaseam.model.FailureDomain;
import org.magnoliaseam.model.ServiceName;

/** Decodes the entry that a backend server registers for itself. */
final class ServerDecoder {

    /** Parses JSON. */
    private static final ObjectMapper MAPPER = new ObjectMapper();

    /** Prevents instances of this utility class. */
    private ServerDecoder() {}

    /**
     * Decodes an entry.
     *
     * @param id the id under which it is registered
     * @param bytes the registered bytes
     * @return the entry, or an error message that names the invalid key
     */
    static Result<ServerEntry, String> decode(BackendServerId id, byte[] bytes) {
        try {
            return Result.ok(entry(id, MAPPER.readTree(bytes)));
        } catch (IOException e) {
            return Result.err("not JSON");
        } catch (IllegalArgumentException e) {
            return Result.err(e.getMessage());
        }
    }

    /**
     * Converts the fields of an entry.
     *
     * @param id the id of the backend server
     * @param node the JSON object
     * @return the entry
     */
    private static ServerEntry entry(BackendServerId id, JsonNode node) {
        String state = text(node, "state");
        boolean draining = "draining".equals(state);
        if (!draining && !"ready".equals(state)) {
            throw new IllegalArgumentException("state is unknown");
        }
        return new ServerEntry(
                id,
                new ServiceName(text(node, "service")),
                address(text(node, "address")),
                new FailureDomain(text(node, "zone")),
                (int) wholeNumber(node, "slots", true),
                draining,
                wholeNumber(node, "cold_remaining_ms", false),
                wholeNumber(node, "born", false));
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
     * Reads a number that must not be negative.
     *
     * @param node the JSON object
     * @param key the key
     * @param required whether it must be present
     * @return the number without its fraction; 0 if it is absent
     */
    private static long wholeNumber(JsonNode node, String key, boolean required) {
        JsonNode value = node.path(key);
        boolean absent = value.isMissingNode() && !required;
        if (!absent && (!value.isNumber() || value.asDouble() < 0)) {
            throw new IllegalArgumentException(key + " is not a non-negative number");
        }
        return value.asLong();
    }

    /**
     * Parses an address.
     *
     * @param text an IP address and a port, separated by a colon
     * @return the address
     */
    private static InetSocketAddress address(String text) {
        int colon = text.lastIndexOf(':');
        if (colon <= 0) {
            throw new IllegalArgumentException("address is not an IP address with a port");
        }
        try {
            int port = Integer.parseInt(text.substring(colon + 1));
            return InetSocketAddress.createUnresolved(text.substring(0, colon), port);
        } catch (IllegalArgumentException e) {
            throw new IllegalArgumentException("address has no valid port", e);
        }
    }
}
