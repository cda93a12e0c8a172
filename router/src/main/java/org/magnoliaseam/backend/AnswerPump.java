package org.magnoliaseam.backend;

import java.nio.ByteBuffer;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeoutException;
import java.util.function.BooleanSupplier;
import org.eclipse.jetty.client.Response;
import org.eclipse.jetty.io.Content;

/** Reads the body of an answer as fast as its listener lets it, and names failed exchanges. */
public final class AnswerPump {

    /** Takes the answer. */
    private final BackendListener mListener;

    /** Tells whether the body is of no use and is only read to its end. */
    private final BooleanSupplier mDiscards;

    /**
     * Creates a pump.
     *
     * @param listener takes the answer
     * @param discards tells whether the body is of no use and is only read to its end
     */
    public AnswerPump(BackendListener listener, BooleanSupplier discards) {
        mListener = listener;
        mDiscards = discards;
    }

    /**
     * Reads the body as far as it has come.
     *
     * @param response the answer
     * @param source the body
     */
    public void content(Response response, Content.Source source) {
        while (true) {
            Content.Chunk chunk = source.read();
            if (chunk == null) {
                source.demand(() -> content(response, source));
                return;
            }
            if (Content.Chunk.isFailure(chunk)) {
                return;
            }
            if (!deliver(response, source, chunk)) {
                return;
            }
        }
    }

    /**
     * Reports a failed exchange.
     *
     * @param sending whether a byte of the request may have left
     * @param cause why it failed
     */
    public void fail(boolean sending, Throwable cause) {
        String detail = cause.getClass().getSimpleName();
        if (!sending && cause instanceof CallCancelledException) {
            mListener.failed(BackendFailure.HELD_BACK, "The router cancelled the call.");
        } else if (!sending) {
            mListener.failed(BackendFailure.NOT_SENT, "No connection was made: " + detail + ".");
        } else if (cause instanceof CallCancelledException) {
            mListener.failed(BackendFailure.INCOMPLETE, "The router cancelled the call.");
        } else if (cause instanceof TimeoutException) {
            mListener.failed(BackendFailure.TIMEOUT, "The time limit passed.");
        } else {
            mListener.failed(
                    BackendFailure.CONNECTION_LOST, "The connection was lost: " + detail + ".");
        }
    }

    /**
     * Hands one part of the body to the listener.
     *
     * @param response the answer
     * @param source the body
     * @param chunk the part
     * @return true if the next part can be read at once
     */
    private boolean deliver(Response response, Content.Source source, Content.Chunk chunk) {
        boolean last = chunk.isLast();
        if (mDiscards.getAsBoolean() || !chunk.hasRemaining()) {
            chunk.release();
            return !last;
        }
        ByteBuffer bytes = ByteBuffer.allocate(chunk.remaining());
        bytes.put(chunk.getByteBuffer()).flip();
        chunk.release();
        CompletableFuture<Void> taken = mListener.content(bytes);
        if (taken.isDone() && !taken.isCompletedExceptionally()) {
            return !last;
        }
        taken.whenComplete(
                (ignored, failure) -> {
                    if (failure != null) {
                        response.abort(new CallCancelledException());
                    } else if (!last) {
                        content(response, source);
                    }
                });
        return false;
    }
}
