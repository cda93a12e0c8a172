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

/** Reads what a backend server has registered of itself. */
final class ServerDecoder {

    /** Reads JSON. */
    private static final ObjectMapper MAPPER = new ObjectMapper();

    /** Prevents instances of this utility class. */
    private ServerDecoder() {}

    /**
     * Reads an entry.
     *
     * @param id the id under which it is registered
     * @param bytes the registered bytes
     * @return the entry, or why it names no backend server to use
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
     * Reads the fields.
     *
     * @param id the id
     * @param node the registered table
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
                (int) whole(node, "slots", true),
                draining,
                whole(node, "cold_remaining_ms", false),
                whole(node, "born", false));
    }

    /**
     * Reads a text.
     *
     * @param node the table
     * @param key the key
     * @return the text
     */
    private static String text(JsonNode node, String key) {
        JsonNode value = node.path(key);
        if (!value.isTextual()) {
            throw new IllegalArgumentException(key + " is no text");
        }
        return value.asText();
    }

    /**
     * Reads a number.
     *
     * @param node the table
     * @param key the key
     * @param required whether it must be present
     * @return the number; 0 if it is absent
     */
    private static long whole(JsonNode node, String key, boolean required) {
        JsonNode value = node.path(key);
        boolean absent = value.isMissingNode() && !required;
        if (!absent && (!value.isNumber() || value.asDouble() < 0)) {
            throw new IllegalArgumentException(key + " is no number");
        }
        return value.asLong();
    }

    /**
     * Reads an address.
     *
     * @param text an IP number and a port
     * @return the address
     */
    private static InetSocketAddress address(String text) {
        int colon = text.lastIndexOf(':');
        if (colon <= 0) {
            throw new IllegalArgumentException("address is no IP number with a port");
        }
        try {
            int port = Integer.parseInt(text.substring(colon + 1));
            return InetSocketAddress.createUnresolved(text.substring(0, colon), port);
        } catch (IllegalArgumentException e) {
            throw new IllegalArgumentException("address has no port", e);
        }
    }
}
