package org.magnoliaseam.route;

import java.nio.ByteBuffer;
import java.util.concurrent.CompletableFuture;
import org.magnoliaseam.backend.BackendFailure;
import org.magnoliaseam.backend.BackendListener;
import org.magnoliaseam.error.Executed;
import org.magnoliaseam.error.Refusal;
import org.magnoliaseam.exchange.AnswerHead;
import org.magnoliaseam.exchange.AnswerSink;

/**
 * Passes the answer of a peer to a backend listener, which checks it like the answer of a backend
 * server. The peer's stream is stopped without a further call after a failed write, so the failed
 * write ends the attempt.
 */
final class PeerAnswerAdapter implements AnswerSink {

    /** Receives the answer. */
    private final BackendListener mListener;

    /**
     * Creates an adapter.
     *
     * @param listener receives the answer
     */
    PeerAnswerAdapter(BackendListener listener) {
        mListener = listener;
    }

    @Override
    public void head(AnswerHead head) {
        mListener.head(head);
    }

    @Override
    public CompletableFuture<Void> write(ByteBuffer bytes) {
        return mListener
                .content(bytes)
                .whenComplete(
                        (ignored, failure) -> {
                            if (failure != null) {
                                String detail = "The answer of the peer was stopped.";
                                mListener.failed(BackendFailure.INCOMPLETE, detail);
                            }
                        });
    }

    @Override
    public void end() {
        mListener.ended();
    }

    @Override
    public void refuse(Refusal refusal) {
        BackendFailure failure =
                refusal.kind().executed() == Executed.NO
                        ? BackendFailure.REFUSED
                        : BackendFailure.INCOMPLETE;
        mListener.failed(failure, "The peer refused: " + refusal.kind().text() + ".");
    }
}
