package org.magnoliaseam.testbed.engine;

import com.fasterxml.jackson.databind.JsonNode;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.OptionalInt;
import java.util.Random;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.magnoliaseam.testbed.http.Json;

/** Computes the answer to a chat request only from its messages and its token limit. */
public final class EngineAnswers {

    /** The mean number of tokens, unless an option changes it. */
    public static final double DEFAULT_MEAN_TOKENS = 60;

    /** The largest number of tokens of an answer. */
    private static final int MAX_TOKENS = 4096;

    /** The standard deviation of the logarithm of the number of tokens. */
    private static final double LOG_STANDARD_DEVIATION = 0.9;

    /** The marker in a message that sets the number of tokens. */
    private static final Pattern TOKENS_MARKER = Pattern.compile("\\[\\[tokens=(\\d{1,4})]]");

    /** The mean number of tokens. */
    private final double mMeanTokens;

    /**
     * Creates a source of answers.
     *
     * @param meanTokens the mean number of tokens
     */
    public EngineAnswers(double meanTokens) {
        mMeanTokens = meanTokens;
    }

    /**
     * Computes the answer to a chat request.
     *
     * @param request the body of the request
     * @return the answer
     */
    public EngineAnswer answer(JsonNode request) {
        JsonNode limit = request.path("max_tokens");
        return answer(
                request.path("messages"),
                limit.isInt() ? OptionalInt.of(limit.asInt()) : OptionalInt.empty());
    }

    /**
     * Computes the answer to messages.
     *
     * @param messages the messages
     * @param maxTokens the largest number of tokens that the caller accepts
     * @return the answer
     */
    public EngineAnswer answer(JsonNode messages, OptionalInt maxTokens) {
        String text = Json.canonical(messages);
        long hash = hash(text);
        int tokens = Math.min(unboundedTokens(text, hash), maxTokens.orElse(MAX_TOKENS));
        return new EngineAnswer(hash, Math.max(1, Math.min(tokens, MAX_TOKENS)));
    }

    /**
     * Computes the number of tokens before limits.
     *
     * @param text the messages in canonical form
     * @param hash the hash of the messages
     * @return the number of tokens
     */
    private int unboundedTokens(String text, long hash) {
        Matcher marker = TOKENS_MARKER.matcher(text);
        if (marker.find()) {
            return Integer.parseInt(marker.group(1));
        }
        double logMean =
                Math.log(mMeanTokens) - LOG_STANDARD_DEVIATION * LOG_STANDARD_DEVIATION / 2;
        return (int)
                Math.round(
                        Math.exp(
                                logMean
                                        + LOG_STANDARD_DEVIATION
                                                * new Random(hash).nextGaussian()));
    }

    /**
     * Computes the hash of messages.
     *
     * @param text the messages in canonical form
     * @return the first eight bytes of their SHA-256 digest
     */
    private static long hash(String text) {
        try {
            MessageDigest digest = MessageDigest.getInstance("SHA-256");
            return ByteBuffer.wrap(digest.digest(text.getBytes(StandardCharsets.UTF_8))).getLong();
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException(e);
        }
    }
}
