package org.magnoliaseam.peer;

/**
 * Holds what a handshake has established.
 *
 * @param peer the run of the peer that proved to hold the key
 * @param incoming checks the frames of the peer
 * @param outgoing authenticates own frames
 */
record Session(PeerIdentity peer, FrameAuthenticator incoming, FrameAuthenticator outgoing) {}
