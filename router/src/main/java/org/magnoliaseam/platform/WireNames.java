package org.magnoliaseam.platform;

import java.util.Locale;
import java.util.Set;

/** Holds the names of header fields, keys and paths on the wire. */
final class WireNames {

    /** Names a request; each attempt of a caller has its own. */
    static final String REQUEST_ID = "X-Request-Id";

    /** The time that the caller or this entry VM still waits, in milliseconds. */
    static final String DEADLINE = "X-Deadline-Ms";

    /** The backend server that is meant; another one at the same address refuses. */
    static final String TARGET = "X-Target-Instance";

    /** The client account that holds the key. */
    static final String ACCOUNT = "X-Tenant";

    /** The rank at a model engine, 0 first. */
    static final String PRIORITY = "X-Request-Priority";

    /** The tokens of the prompt and the most tokens of the answer. */
    static final String TOKENS = "X-Token-Counts";

    /** The parts of the prompt in order. */
    static final String PROMPT = "X-Prompt-Prefix";

    /** The last event that the caller has. */
    static final String LAST_EVENT = "Last-Event-Id";

    /** Marks an answer as a backend server's own. */
    static final String SIGNATURE = "X-Response-Signature";

    /** States that a request has not run. */
    static final String NOT_EXECUTED = "X-Not-Executed";

    /** The running requests, the waiting requests and the slots of a backend server. */
    static final String LOAD = "X-Server-Load";

    /** The header fields that are never passed on to a backend server as the caller sent them. */
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

    /** The header fields of an answer that concern one connection only. */
    private static final Set<String> NOT_RETURNED =
            Set.of("connection", "content-length", "keep-alive", "trailer", "transfer-encoding");

    /** Prevents instances of this list of constants. */
    private WireNames() {}

    /**
     * Tells whether a header field of a request is passed on.
     *
     * @param name the header field
     * @return true if the backend server gets it
     */
    static boolean forwarded(String name) {
        return !NOT_FORWARDED.contains(name.toLowerCase(Locale.ROOT));
    }

    /**
     * Tells whether a header field of an answer is passed on.
     *
     * @param name the header field
     * @return true if the caller gets it
     */
    static boolean returned(String name) {
        return !NOT_RETURNED.contains(name.toLowerCase(Locale.ROOT));
    }
}
