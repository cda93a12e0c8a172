package org.magnoliaseam.caller;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.util.function.Consumer;
import org.eclipse.jetty.io.Content;
import org.magnoliaseam.error.ErrorKind;
import org.magnoliaseam.error.Refusal;
import org.magnoliaseam.error.Result;
import org.magnoliaseam.time.MonotonicClock;

/** Reads a request body within a size limit and a time limit, without blocking a thread. */
public final class BodyReader {

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

    /** The bytes received so far. */
    private final ByteArrayOutputStream mBytes = new ByteArrayOutputStream();

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
            if (mBytes.size() > mMaxBytes) {
                refuse(ErrorKind.BODY_TOO_LARGE);
                return;
            }
            if (last) {
                mDone.accept(Result.ok(mBytes.toByteArray()));
                return;
            }
            if (mClock.nanos() - mDeadlineNanos > 0) {
                refuse(ErrorKind.BODY_TIMEOUT);
                return;
            }
        }
    }

    /**
     * Appends the bytes of a chunk, up to one byte beyond the size limit.
     *
     * @param chunk the chunk
     */
    private void append(Content.Chunk chunk) {
        ByteBuffer bytes = chunk.getByteBuffer();
        int room = Math.min(bytes.remaining(), mMaxBytes + 1 - mBytes.size());
        byte[] copy = new byte[Math.max(0, room)];
        bytes.get(copy);
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
