package org.magnoliaseam.platform;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.magnoliaseam.catalog.ServerEntry;
import org.magnoliaseam.error.Result;
import org.magnoliaseam.model.BackendServerId;
import org.magnoliaseam.model.FailureDomain;
import org.magnoliaseam.model.ServiceName;

/** Decodes the entry that a backend server registers for itself. */
final class ServerDecoder {

    /** The largest accepted number of slots. */
    private static final int MAX_SLOTS = 1_000_000;

    /** The longest accepted cold start in milliseconds. */
    private static final double MAX_COLD_MILLIS = 86_400_000;

    /** The largest accepted start mark, which leaves room for comparisons. */
    private static final long MAX_START_MARK = Long.MAX_VALUE / 2;

    /** The largest port. */
    private static final int MAX_PORT = 65_535;

    /** An octet of an IP address. */
    private static final String OCTET = "(?:25[0-5]|2[0-4]\\d|1?\\d?\\d)";

    /** Matches an IP address of version 4, or one of version 6 in brackets, with a port. */
    private static final Pattern ADDRESS =
            Pattern.compile(
                    "(" + OCTET + "(?:[.]" + OCTET + "){3}|\\[[0-9A-Fa-f:.]{2,45}\\]):(\\d{1,5})");

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
                (int) wholeNumber(node, "slots", MAX_SLOTS),
                draining,
                (long) number(node, "cold_remaining_ms", MAX_COLD_MILLIS),
                node.has("born") ? wholeNumber(node, "born", MAX_START_MARK) : 0);
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
     * Reads a whole number.
     *
     * @param node the JSON object
     * @param key the key
     * @param max the largest accepted number
     * @return the number, from 0 to the largest
     */
    private static long wholeNumber(JsonNode node, String key, long max) {
        JsonNode value = node.path(key);
        if (!value.isIntegralNumber()
                || !value.canConvertToLong()
                || value.asLong() < 0
                || value.asLong() > max) {
            throw new IllegalArgumentException(key + " is not a whole number from 0 to " + max);
        }
        return value.asLong();
    }

    /**
     * Reads an optional number.
     *
     * @param node the JSON object
     * @param key the key
     * @param max the largest accepted number
     * @return the number, from 0 to the largest; 0 if it is absent
     */
    private static double number(JsonNode node, String key, double max) {
        JsonNode value = node.path(key);
        if (value.isMissingNode()) {
            return 0;
        }
        if (!value.isNumber() || !(value.asDouble() >= 0 && value.asDouble() <= max)) {
            throw new IllegalArgumentException(key + " is not a number from 0 to " + max);
        }
        return value.asDouble();
    }

    /**
     * Parses an address.
     *
     * @param text an IP address and a port, separated by a colon
     * @return the address
     */
    private static InetSocketAddress address(String text) {
        Matcher matcher = ADDRESS.matcher(text);
        if (!matcher.matches()) {
            throw new IllegalArgumentException("address is not an IP address with a port");
        }
        int port = Integer.parseInt(matcher.group(2));
        if (port == 0 || port > MAX_PORT) {
            throw new IllegalArgumentException("address has no valid port");
        }
        return InetSocketAddress.createUnresolved(matcher.group(1), port);
    }
}
