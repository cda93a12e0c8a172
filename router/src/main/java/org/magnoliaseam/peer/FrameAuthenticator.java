package org.magnoliaseam.peer;

import java.nio.ByteBuffer;
import java.util.Arrays;
import javax.crypto.Mac;

/**
 * Authenticates the frames of one direction of one connection. The code covers the sequence number
 * of the frame, so that a replayed or reordered frame is detected. Not thread-safe.
 */
final class FrameAuthenticator {

    /** The length of the truncated code in bytes. */
    static final int TAG_BYTES = 16;

    /** Computes the codes. */
    private final Mac mMac;

    /** The sequence number of the next frame. */
    private long mSequence;

    /**
     * Creates the authentication of a direction.
     *
     * @param key the key of the direction
     */
    FrameAuthenticator(PeerKey key) {
        mMac = key.newMac();
    }

    /**
     * Computes the code of the next frame.
     *
     * @param payload the frame
     * @return the code
     */
    byte[] next(byte[] payload) {
        mMac.update(ByteBuffer.allocate(Long.BYTES).putLong(mSequence++).array());
        return Arrays.copyOf(mMac.doFinal(payload), TAG_BYTES);
    }
}
