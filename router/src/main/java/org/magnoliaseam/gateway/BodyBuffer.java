package org.magnoliaseam.gateway;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;

/** Collects the body of an answer up to a size limit. Not thread-safe. */
final class BodyBuffer {

    /** The largest accepted body, in bytes. */
    private static final int MAX_BYTES = 8 * 1024 * 1024;

    /** Limits the memory of the body. */
    private final AnswerMemory.Share mMemory;

    /** The parts of the body so far. */
    private final List<byte[]> mParts = new ArrayList<>(1);

    /** The size of the body so far, in bytes. */
    private int mSize;

    /**
     * Creates an empty buffer.
     *
     * @param memory limits the memory of the body
     */
    BodyBuffer(AnswerMemory.Share memory) {
        mMemory = memory;
    }

    /**
     * Adds a part of the body.
     *
     * @param bytes the part
     * @return true if the part was added; false if the body is too large
     */
    boolean add(ByteBuffer bytes) {
        int size = mSize + bytes.remaining();
        if (size > MAX_BYTES || !mMemory.resize(size)) {
            return false;
        }
        byte[] copy = new byte[bytes.remaining()];
        bytes.get(copy);
        mParts.add(copy);
        mSize = size;
        return true;
    }

    /**
     * Returns the body.
     *
     * @return the bytes so far
     */
    byte[] bytes() {
        ByteBuffer joined = ByteBuffer.allocate(mSize);
        mParts.forEach(joined::put);
        return joined.array();
    }
}
