package org.magnoliaseam.peer;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.util.concurrent.CompletableFuture;
import org.magnoliaseam.error.Refusal;
import org.magnoliaseam.exchange.AnswerHead;
import org.magnoliaseam.exchange.AnswerSink;

/**
 * Records an answer. All writes return the given future; while it is open, only one part is
 * delivered.
 */
final class RecordingSink implements AnswerSink {

    private final ByteArrayOutputStream mBody = new ByteArrayOutputStream();
    private final CompletableFuture<Void> mWriteResult;
    private volatile AnswerHead mHead;
    private volatile Refusal mRefusal;
    private volatile boolean mEnded;

    RecordingSink() {
        this(CompletableFuture.completedFuture(null));
    }

    RecordingSink(CompletableFuture<Void> writeResult) {
        mWriteResult = writeResult;
    }

    @Override
    public void head(AnswerHead head) {
        mHead = head;
    }

    @Override
    public synchronized CompletableFuture<Void> write(ByteBuffer bytes) {
        mBody.write(bytes.array(), bytes.position(), bytes.remaining());
        return mWriteResult;
    }

    @Override
    public void end() {
        mEnded = true;
    }

    @Override
    public void refuse(Refusal refusal) {
        mRefusal = refusal;
    }

    AnswerHead head() {
        return mHead;
    }

    synchronized byte[] body() {
        return mBody.toByteArray();
    }

    Refusal refusal() {
        return mRefusal;
    }

    boolean ended() {
        return mEnded;
    }
}
