package org.magnoliaseam.caller;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.util.function.Consumer;
import org.eclipse.jetty.io.Content;
import org.magnoliaseam.error.ErrorKind;
import org.magnoliaseam.error.Refusal;
import org.magnoliaseam.error.Result;
import org.magnoliaseam.time.MonotonicClock;

/**
 * Reads a request body within a size limit and a time limit, without blocking a thread. A body that
 * is larger is read to its end and dropped, since the caller may lose the answer if its connection
 * ends while it sends.
 */
public final class BodyReader {

    /** The largest number of bytes that are dropped, in bytes. */
    private static final int MAX_DROPPED_BYTES = 4 * 1024 * 1024;

    /** The source of the body. */
    private final Content.Source mSource;

    /** The largest accepted size in bytes. */
    private final int mMaxBytes;

    /** The local monotonic time by which the body must be complete. */
    private final long mDeadlineNanos;

    /** The clock. */
    private final MonotonicClock mClock;

    /** Receives the body or the refusal. */
    private final Consumer<Result<byte[], Refusal>> mDone;

    /** The bytes received so far, up to the size limit. */
    private final ByteArrayOutputStream mBytes = new ByteArrayOutputStream();

    /** The number of bytes beyond the size limit. */
    private int mDropped;

    /**
     * Creates a reader.
     *
     * @param source the source of the body
     * @param maxBytes the largest accepted size in bytes
     * @param deadlineNanos the local monotonic time by which the body must be complete
     * @param clock the clock
     * @param done receives the body or the refusal; called once
     */
    public BodyReader(
            Content.Source source,
            int maxBytes,
            long deadlineNanos,
            MonotonicClock clock,
            Consumer<Result<byte[], Refusal>> done) {
        mSource = source;
        mMaxBytes = maxBytes;
        mDeadlineNanos = deadlineNanos;
        mClock = clock;
        mDone = done;
    }

    /** Reads the body as it arrives, until it is complete or a limit is exceeded. */
    public void read() {
        while (true) {
            Content.Chunk chunk = mSource.read();
            if (chunk == null) {
                mSource.demand(this::read);
                return;
            }
            if (Content.Chunk.isFailure(chunk)) {
                mDone.accept(Result.err(Refusal.of(ErrorKind.BODY_TIMEOUT)));
                return;
            }
            boolean last = chunk.isLast();
            append(chunk);
            if (last) {
                mDone.accept(
                        mDropped > 0
                                ? Result.err(Refusal.of(ErrorKind.BODY_TOO_LARGE))
                                : Result.ok(mBytes.toByteArray()));
                return;
            }
            boolean late = mClock.nanos() - mDeadlineNanos > 0;
            if (late || mDropped > MAX_DROPPED_BYTES) {
                refuse(mDropped > 0 ? ErrorKind.BODY_TOO_LARGE : ErrorKind.BODY_TIMEOUT);
                return;
            }
        }
    }

    /**
     * Appends the bytes of a chunk up to the size limit and drops the others.
     *
     * @param chunk the chunk
     */
    private void append(Content.Chunk chunk) {
        ByteBuffer bytes = chunk.getByteBuffer();
        byte[] copy = new byte[Math.min(bytes.remaining(), mMaxBytes - mBytes.size())];
        bytes.get(copy);
        mDropped += bytes.remaining();
        mBytes.write(copy, 0, copy.length);
        chunk.release();
    }

    /**
     * Stops reading and reports a refusal.
     *
     * @param kind the kind of refusal
     */
    private void refuse(ErrorKind kind) {
        mSource.fail(new IllegalStateException(kind.text()));
        mDone.accept(Result.err(Refusal.of(kind)));
    }
}
