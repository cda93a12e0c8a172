package org.magnoliaseam.relay;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.magnoliaseam.exchange.AnswerHead;
import org.magnoliaseam.exchange.AnswerSink;
import org.magnoliaseam.exchange.Header;
import org.magnoliaseam.model.RequestId;

/** Buffers a chat response and writes it as one JSON body, for callers that do not stream. */
public final class BufferedOutput implements ChatOutput {

    /** The longest text that is buffered, in characters. */
    public static final int MAX_CHARACTERS = 4 * 1024 * 1024;

    /** Writes JSON. */
    private static final ObjectMapper MAPPER = new ObjectMapper();

    /** Receives the response for the caller. */
    private final AnswerSink mSink;

    /** The request. */
    private final RequestId mId;

    /** The model named in the response. */
    private final String mModel;

    /** The text received so far. */
    private final StringBuilder mText = new StringBuilder();

    /** The status and header fields for the caller; null before they arrive. */
    private AnswerHead mHead;

    /** The number of tokens received so far. */
    private int mTokens;

    /**
     * Creates an output.
     *
     * @param sink receives the response for the caller
     * @param id the request
     * @param model the model named in the response
     */
    public BufferedOutput(AnswerSink sink, RequestId id, String model) {
        mSink = sink;
        mId = id;
        mModel = model;
    }

    @Override
    public void open(AnswerHead head) {
        if (mHead == null) {
            List<Header> headers = new ArrayList<>(head.headers());
            headers.removeIf(field -> "Content-Type".equalsIgnoreCase(field.name()));
            headers.add(new Header("Content-Type", "application/json"));
            mHead = new AnswerHead(head.status(), headers);
        }
    }

    @Override
    public CompletableFuture<Void> event(String data, String content) {
        if (mText.length() + content.length() > MAX_CHARACTERS) {
            return CompletableFuture.failedFuture(
                    new IllegalStateException("The answer is too long to collect."));
        }
        mText.append(content);
        if (!content.isEmpty()) {
            mTokens++;
        }
        return CompletableFuture.completedFuture(null);
    }

    @Override
    public void end() {
        mSink.head(mHead);
        byte[] body = body().toString().getBytes(StandardCharsets.UTF_8);
        mSink.write(ByteBuffer.wrap(body)).whenComplete((ignored, failure) -> mSink.end());
    }

    /**
     * Renders the body of the response.
     *
     * @return the JSON object of the chat-completions protocol
     */
    private ObjectNode body() {
        ObjectNode root = MAPPER.createObjectNode();
        root.put("id", mId.value()).put("object", "chat.completion").put("model", mModel);
        ObjectNode choice = root.putArray("choices").addObject();
        choice.put("index", 0).put("finish_reason", "stop");
        choice.putObject("message").put("role", "assistant").put("content", mText.toString());
        root.putObject("usage").put("completion_tokens", mTokens);
        return root;
    }
}
