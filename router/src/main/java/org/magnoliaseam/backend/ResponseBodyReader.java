package org.magnoliaseam.backend;

import java.nio.ByteBuffer;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeoutException;
import java.util.function.BooleanSupplier;
import org.eclipse.jetty.client.Response;
import org.eclipse.jetty.io.Content;

/** Reads the body of a response at the pace of its listener, and classifies failed exchanges. */
public final class ResponseBodyReader {

    /** Receives the response. */
    private final BackendListener mListener;

    /** Returns whether to read the body to its end without passing it on. */
    private final BooleanSupplier mDiscards;

    /**
     * Creates a body reader.
     *
     * @param listener receives the response
     * @param discards returns whether to read the body to its end without passing it on
     */
    public ResponseBodyReader(BackendListener listener, BooleanSupplier discards) {
        mListener = listener;
        mDiscards = discards;
    }

    /**
     * Reads the part of the body that has arrived, and continues when more arrives.
     *
     * @param response the response
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
     * Reports a failed exchange to the listener.
     *
     * @param sending whether a byte of the request may have been sent
     * @param cause the reason
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
     * Passes one chunk of the body to the listener.
     *
     * @param response the response
     * @param source the body
     * @param chunk the chunk
     * @return true if the next chunk can be read at once
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
        CompletableFuture<Void> delivered = mListener.content(bytes);
        if (delivered.isDone() && !delivered.isCompletedExceptionally()) {
            return !last;
        }
        delivered.whenComplete(
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
