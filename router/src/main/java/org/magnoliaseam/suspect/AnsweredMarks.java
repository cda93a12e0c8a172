package org.magnoliaseam.suspect;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

/** Remembers the marks of the requests that were answered lately. Not thread-safe. */
final class AnsweredMarks {

    /** The largest number of marks to keep; the oldest are dropped. */
    private static final int MAX_MARKS = 8192;

    /** The local monotonic time of the latest answer to a request with a mark, oldest first. */
    private final Map<RequestMark, Long> mNanos = new LinkedHashMap<>();

    /**
     * Records an answer.
     *
     * @param mark a mark of the request
     * @param nanos the local monotonic time of the answer
     */
    void add(RequestMark mark, long nanos) {
        Long known = mNanos.remove(mark);
        mNanos.put(mark, known != null && known - nanos > 0 ? known : nanos);
        if (mNanos.size() > MAX_MARKS) {
            mNanos.remove(mNanos.keySet().iterator().next());
        }
    }

    /**
     * Tells whether an answer is known.
     *
     * @param mark the mark
     * @return true if a request with the mark was answered lately
     */
    boolean contains(RequestMark mark) {
        return mNanos.containsKey(mark);
    }

    /**
     * Returns the time of the latest answer.
     *
     * @param mark the mark
     * @return the local monotonic time; empty if none is known
     */
    Optional<Long> nanos(RequestMark mark) {
        return Optional.ofNullable(mNanos.get(mark));
    }
}
