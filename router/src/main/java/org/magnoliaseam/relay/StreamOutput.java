package org.magnoliaseam.relay;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;
import org.magnoliaseam.exchange.AnswerHead;
import org.magnoliaseam.exchange.AnswerSink;

/** Writes a chat response as server-sent events. */
public final class StreamOutput implements ChatOutput {

    /** The end marker of the stream. */
    private static final String END_MARKER = "data: [DONE]\n\n";

    /** Receives the response for the caller. */
    private final AnswerSink mSink;

    /** Whether the status and header fields were written. */
    private boolean mOpened;

    /**
     * Creates an output.
     *
     * @param sink receives the response for the caller
     */
    public StreamOutput(AnswerSink sink) {
        mSink = sink;
    }

    @Override
    public void open(AnswerHead head) {
        if (!mOpened) {
            mOpened = true;
            mSink.head(head);
        }
    }

    @Override
    public CompletableFuture<Void> event(String data, String content) {
        return write("data: " + data + "\n\n");
    }

    @Override
    public void end() {
        write(END_MARKER).whenComplete((ignored, failure) -> mSink.end());
    }

    /**
     * Writes a text.
     *
     * @param text the text
     * @return completes when more may be written; completes exceptionally if the caller is gone
     */
    private CompletableFuture<Void> write(String text) {
        return mSink.write(ByteBuffer.wrap(text.getBytes(StandardCharsets.UTF_8)));
    }
}
