package org.magnoliaseam.peer;

import java.util.concurrent.Executor;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ThreadFactory;
import org.magnoliaseam.time.MonotonicClock;

/**
 * Holds the state shared by all connections of one node.
 *
 * @param handshake authenticates new connections
 * @param events handles heartbeats, requests and configurations from peers
 * @param clock measures durations
 * @param timers runs time limits; its tasks never block
 * @param threads creates the threads of connections
 * @param handlers runs event handlers, a few at a time
 * @param dispatcher counts the connections of each peer and delivers events in order
 */
record PeerContext(
        Handshake handshake,
        PeerEvents events,
        MonotonicClock clock,
        ScheduledExecutorService timers,
        ThreadFactory threads,
        Executor handlers,
        PeerEventDispatcher dispatcher) {}
