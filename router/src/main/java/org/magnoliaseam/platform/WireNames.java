package org.magnoliaseam.platform;

import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.Set;

/** Lists the header fields of the platform's HTTP protocol. */
final class WireNames {

    /** The id of a request; a caller sends a new one with each attempt. */
    static final String REQUEST_ID = "X-Request-Id";

    /** The time that the sender still waits for the response, in milliseconds. */
    static final String DEADLINE = "X-Deadline-Ms";

    /** The id of the intended backend server; any other server at its address refuses. */
    static final String TARGET = "X-Target-Instance";

    /** The client account that owns the API key. */
    static final String ACCOUNT = "X-Tenant";

    /** The priority at a model engine; 0 is the highest. */
    static final String PRIORITY = "X-Request-Priority";

    /** The number of tokens of the prompt and the highest number of tokens of the answer. */
    static final String TOKENS = "X-Token-Counts";

    /** The parts of the prompt in order. */
    static final String PROMPT = "X-Prompt-Prefix";

    /** The id of the last event that the caller received. */
    static final String LAST_EVENT = "Last-Event-Id";

    /** The signature that shows that a backend server itself wrote the response. */
    static final String SIGNATURE = "X-Response-Signature";

    /** States that the backend server did not run the request. */
    static final String NOT_EXECUTED = "X-Not-Executed";

    /** The numbers of running requests, waiting requests and slots of a backend server. */
    static final String LOAD = "X-Server-Load";

    /** The response header field by which a backend server says that it is leaving. */
    static final String LEAVING = "Server-Leaving";

    /** The engine from which another one fetches cached prompt parts. */
    static final String CACHE_SOURCE = "Kv-Fetch";

    /** The number of times that the store came back from a copy. */
    static final String STORE_ERA = "Store-Era";

    /** The request header fields that are not forwarded unchanged, in lower case. */
    private static final Set<String> NOT_FORWARDED =
            Set.of(
                    "authorization",
                    "connection",
                    "content-length",
                    "expect",
                    "host",
                    "keep-alive",
                    "kv-fetch",
                    "kv-from",
                    "proxy-authenticate",
                    "proxy-authorization",
                    "proxy-connection",
                    "te",
                    "trailer",
                    "transfer-encoding",
                    "upgrade",
                    "x-deadline-ms",
                    "x-expected-version",
                    "x-hold",
                    "x-kv-backup",
                    "x-pin-ms",
                    "x-request-id",
                    "x-request-priority",
                    "x-target-instance",
                    "x-tenant");

    /** The response header fields that apply to a single connection, in lower case. */
    private static final Set<String> NOT_RETURNED =
            Set.of("connection", "content-length", "keep-alive", "trailer", "transfer-encoding");

    /** Prevents instances of this utility class. */
    private WireNames() {}

    /**
     * Returns whether a header field of a request is forwarded to the backend server.
     *
     * @param name the name of the header field
     * @return true if it is forwarded
     */
    static boolean forwarded(String name) {
        return !NOT_FORWARDED.contains(name.toLowerCase(Locale.ROOT));
    }

    /**
     * Returns whether a header field of a response is returned to the caller.
     *
     * @param name the name of the header field
     * @return true if it is returned
     */
    static boolean returned(String name) {
        return !NOT_RETURNED.contains(name.toLowerCase(Locale.ROOT));
    }

    /**
     * Returns a name as the value of a header field. Its bytes are those of the name in UTF-8; the
     * HTTP client writes one byte for each character.
     *
     * @param name the name
     * @return the value
     */
    static String value(String name) {
        return new String(name.getBytes(StandardCharsets.UTF_8), StandardCharsets.ISO_8859_1);
    }
}
