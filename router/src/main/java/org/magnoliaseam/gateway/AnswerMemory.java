package org.magnoliaseam.gateway;

/**
 * Limits the memory that incomplete answers of backend servers take in this process. Each answer
 * may hold a small part freely. Beyond that it may hold as much as is left for all, so that answers
 * without end leave room for the others, however many they are. Thread-safe.
 */
public final class AnswerMemory {

    /** The size up to which an answer is not limited, in bytes. */
    static final int FREE_BYTES = 32 * 1024;

    /** The share of the heap that answers may hold beyond their free parts. */
    private static final double HEAP_SHARE = 0.125;

    /** The most that answers may hold beyond their free parts, in bytes. */
    private final long mMaxBytes;

    /** What answers hold beyond their free parts, in bytes. */
    private long mHeldBytes;

    /** Holds the memory of one answer. Thread-safe. */
    final class Share {

        /** What the answer holds beyond its free part, in bytes. */
        private long mOwnBytes;

        /** Whether the answer has ended. */
        private boolean mReleased;

        /**
         * Changes the size of the answer.
         *
         * @param size the new size, in bytes
         * @return false if the answer must not have this size
         */
        boolean resize(long size) {
            long wanted = Math.max(0, size - FREE_BYTES);
            synchronized (AnswerMemory.this) {
                boolean tooLarge = wanted > mOwnBytes && wanted > mMaxBytes - mHeldBytes;
                if (mReleased || tooLarge) {
                    return false;
                }
                mHeldBytes += wanted - mOwnBytes;
                mOwnBytes = wanted;
                return true;
            }
        }

        /** Releases the memory when the answer has ended. */
        void release() {
            synchronized (AnswerMemory.this) {
                mHeldBytes -= mOwnBytes;
                mOwnBytes = 0;
                mReleased = true;
            }
        }
    }

    /**
     * Creates a limit.
     *
     * @param maxBytes the most that answers may hold beyond their free parts, in bytes
     */
    AnswerMemory(long maxBytes) {
        mMaxBytes = maxBytes;
    }

    /**
     * Creates the limit of a process.
     *
     * @return a limit for the heap of this process
     */
    static AnswerMemory ofHeap() {
        return new AnswerMemory((long) (Runtime.getRuntime().maxMemory() * HEAP_SHARE));
    }

    /**
     * Returns the share of a new answer.
     *
     * @return a share that holds nothing
     */
    Share share() {
        return new Share();
    }
}
