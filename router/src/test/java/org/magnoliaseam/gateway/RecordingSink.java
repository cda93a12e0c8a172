package org.magnoliaseam.gateway;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;
import org.magnoliaseam.error.Refusal;
import org.magnoliaseam.exchange.AnswerHead;

/** Records the answer. */
final class RecordingSink implements GatewaySink {
    final StringBuilder mBody = new StringBuilder();
    int mStatus;
    int mHeads;
    boolean mComplete;
    boolean mAborted;
    Refusal mRefusal;
    long mRetryAfterMillis;
    boolean mFails;

    /** Completes once the caller has read what was written. */
    private CompletableFuture<Void> mRead = CompletableFuture.completedFuture(null);

    RecordingSink writesEndWith(CompletableFuture<Void> read) {
        mRead = read;
        return this;
    }

    @Override
    public void head(AnswerHead head) {
        mHeads++;
        mStatus = head.status();
    }

    @Override
    public CompletableFuture<Void> write(ByteBuffer bytes) {
        mBody.append(StandardCharsets.UTF_8.decode(bytes));
        return mRead;
    }

    @Override
    public void end() {
        mComplete = true;
    }

    @Override
    public void endWith(ByteBuffer last) {
        write(last);
        end();
    }

    @Override
    public void refuse(Refusal refusal) {
        mRefusal = refusal;
    }

    @Override
    public void refuse(Refusal refusal, long retryAfterMillis) {
        if (mFails) {
            throw new IllegalStateException("cannot refuse");
        }
        mRefusal = refusal;
        mRetryAfterMillis = retryAfterMillis;
    }

    @Override
    public void breakOff() {
        mAborted = true;
    }
}
