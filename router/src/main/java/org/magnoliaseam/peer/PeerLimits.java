package org.magnoliaseam.peer;

/** Holds the limits of the exchange with other entry VMs. */
final class PeerLimits {

    /** The version of the handshake and the frames. */
    static final int PROTOCOL_VERSION = 1;

    /** The largest message before the peer has proved that it holds the key, in bytes. */
    static final int HANDSHAKE_MESSAGE_BYTES = 1024;

    /** The largest frame of an authenticated peer, in bytes. */
    static final int FRAME_BYTES = 5 * 1024 * 1024;

    /** The largest part of a request or answer body in one frame, in bytes. */
    static final int CHUNK_BYTES = 64 * 1024;

    /** The body bytes of one answer that may be in transit without further credit. */
    static final int STREAM_WINDOW_BYTES = 256 * 1024;

    /** The largest body of a forwarded request, in bytes. */
    static final int BODY_BYTES = 4 * 1024 * 1024;

    /** The total size of partly received request bodies that one connection may hold, in bytes. */
    static final int PENDING_BODY_BYTES = 64 * 1024 * 1024;

    /** The number of concurrent requests on one connection. */
    static final int STREAMS = 1024;

    /** The largest base file or overlay in a configuration reply, in bytes. */
    static final int CONFIGURATION_BYTES = 2 * 1024 * 1024;

    /** The authenticated connections that a node accepts; each has two threads. */
    static final int ACCEPTED_CONNECTIONS = 48;

    /** The peers that a node maintains connections to; each has two threads. */
    static final int DIALLED_PEERS = 32;

    /** The other entry VMs that a node dials for single requests at a time. */
    static final int TEMPORARY_PEERS = 16;

    /** The idle time after which a connection for single requests is closed, in milliseconds. */
    static final int TEMPORARY_IDLE_MILLIS = 2_000;

    /** The accepted connections that have not yet authenticated. */
    static final int UNAUTHENTICATED_CONNECTIONS = 32;

    /** The time limit for connecting, in milliseconds. */
    static final int CONNECT_TIMEOUT_MILLIS = 1_000;

    /** The time limit for the handshake, in milliseconds. */
    static final int HANDSHAKE_TIMEOUT_MILLIS = 2_000;

    /**
     * The size of the send buffer of a socket in bytes; limited, so that frames do not wait in it
     * until they are stale.
     */
    static final int SOCKET_BUFFER_BYTES = 256 * 1024;

    /** The delay before accepting again after a failure, in milliseconds. */
    static final int ACCEPT_RETRY_MILLIS = 100;

    /** The interval at which connections are checked, in milliseconds. */
    static final int CHECK_INTERVAL_MILLIS = 250;

    /**
     * The number of peers that get a heartbeat in one round; if there are more, they are served
     * round-robin.
     */
    static final int HEARTBEATS_A_ROUND = 8;

    /** The silence after which a connection is closed, in milliseconds. */
    static final int SILENCE_TIMEOUT_MILLIS = 2_000;

    /** The time limit for writing one frame, in milliseconds. */
    static final int WRITE_TIMEOUT_MILLIS = 5_000;

    /**
     * The time limit for sending the waiting frames and closing the connections when the node
     * stops, in milliseconds.
     */
    static final int FINISH_TIMEOUT_MILLIS = 2_000;

    /** The delay before the first reconnect, in milliseconds. */
    static final int FIRST_RETRY_MILLIS = 100;

    /** The longest delay between two reconnects, in milliseconds. */
    static final int LAST_RETRY_MILLIS = 2_000;

    /** The threads that run the event handlers of one node. */
    static final int EVENT_THREADS = 4;

    /** Prevents instances of this utility class. */
    private PeerLimits() {}
}
