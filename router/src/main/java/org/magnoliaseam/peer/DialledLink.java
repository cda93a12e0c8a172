package org.magnoliaseam.peer;

/**
 * Holds one dialled connection that is up.
 *
 * @param connection moves the frames
 * @param outbox the frames that wait for the writer
 * @param streams the requests forwarded on the connection
 */
record DialledLink(PeerConnection connection, Outbox outbox, ForwardStreams streams) {}
