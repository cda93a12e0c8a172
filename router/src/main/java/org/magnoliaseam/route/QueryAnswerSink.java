package org.magnoliaseam.route;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.magnoliaseam.error.Refusal;
import org.magnoliaseam.exchange.AnswerHead;
import org.magnoliaseam.exchange.AnswerSink;

/** Collects the answer of a peer to an operator query, up to a maximum size. */
final class QueryAnswerSink implements AnswerSink {

    /** The maximum size of an answer in bytes. */
    private static final int MAX_BYTES = 4 * 1024 * 1024;

    /** The body so far. */
    private final ByteArrayOutputStream mBody = new ByteArrayOutputStream();

    /** The answer; empty if the peer refused or its answer was too large. */
    private final CompletableFuture<Optional<String>> mAnswer = new CompletableFuture<>();

    @Override
    public void head(AnswerHead head) {
        // The head needs no check, because a peer without an answer refuses and sends no head.
    }

    @Override
    public synchronized CompletableFuture<Void> write(ByteBuffer bytes) {
        if (mBody.size() + bytes.remaining() > MAX_BYTES) {
            mAnswer.complete(Optional.empty());
            return CompletableFuture.failedFuture(new IllegalStateException("answer too large"));
        }
        byte[] part = new byte[bytes.remaining()];
        bytes.get(part);
        mBody.writeBytes(part);
        return CompletableFuture.completedFuture(null);
    }

    @Override
    public synchronized void end() {
        mAnswer.complete(Optional.of(mBody.toString(StandardCharsets.UTF_8)));
    }

    @Override
    public void refuse(Refusal refusal) {
        mAnswer.complete(Optional.empty());
    }

    /**
     * Returns the answer.
     *
     * @return a future with the text, or with empty if the peer refused or its answer was too large
     */
    CompletableFuture<Optional<String>> answer() {
        return mAnswer;
    }
}
