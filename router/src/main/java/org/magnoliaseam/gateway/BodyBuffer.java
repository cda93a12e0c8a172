package org.magnoliaseam.gateway;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.util.concurrent.CompletableFuture;

/** Collects the body of an answer that is not a stream. Not thread-safe. */
final class BodyBuffer {

    /** The largest accepted body, in bytes. */
    private static final int MAX_BYTES = 8 * 1024 * 1024;

    /** The body so far. */
    private final ByteArrayOutputStream mBytes = new ByteArrayOutputStream();

    /**
     * Adds a part of the body.
     *
     * @param bytes the part
     * @return completed if the part was added; failed if the body is too large
     */
    CompletableFuture<Void> add(ByteBuffer bytes) {
        byte[] copy = new byte[bytes.remaining()];
        bytes.get(copy);
        mBytes.writeBytes(copy);
        return mBytes.size() > MAX_BYTES
                ? CompletableFuture.failedFuture(new IllegalStateException("answer too large"))
                : CompletableFuture.completedFuture(null);
    }

    /**
     * Returns the body.
     *
     * @return the bytes so far
     */
    byte[] bytes() {
        return mBytes.toByteArray();
    }
}
