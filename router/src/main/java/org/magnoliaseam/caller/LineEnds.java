package org.magnoliaseam.caller;

import java.nio.ByteBuffer;

/** Recognizes line ends, which may also come between two requests. */
final class LineEnds {

    /** Prevents instances of this utility class. */
    private LineEnds() {}

    /**
     * Tells whether the last bytes of a buffer are line ends.
     *
     * @param buffer the buffer
     * @param count the number of bytes
     * @return true if there are no others among them
     */
    static boolean endBuffer(ByteBuffer buffer, int count) {
        for (int i = buffer.limit() - count; i < buffer.limit(); i++) {
            if (buffer.get(i) != '\r' && buffer.get(i) != '\n') {
                return false;
            }
        }
        return true;
    }
}
