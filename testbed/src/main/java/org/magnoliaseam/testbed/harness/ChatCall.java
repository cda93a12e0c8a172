package org.magnoliaseam.testbed.harness;

import com.fasterxml.jackson.annotation.JsonProperty;
import java.util.List;
import java.util.Optional;
import org.magnoliaseam.testbed.engine.EngineAnswers;
import org.magnoliaseam.testbed.http.Json;

/**
 * Describes a chat request of a caller.
 *
 * @param key the key of the client account
 * @param requestClass the request class, if named
 * @param model the model
 * @param prompt the content of the user's message
 * @param maxTokens the largest number of tokens of the answer, if limited
 * @param stream whether the answer is streamed
 */
public record ChatCall(
        String key,
        Optional<String> requestClass,
        String model,
        String prompt,
        Optional<Integer> maxTokens,
        boolean stream) {

    /**
     * Returns a streamed request of the default class.
     *
     * @param key the key of the client account
     * @param model the model
     * @param prompt the content of the user's message
     * @return the call
     */
    public static ChatCall streamed(String key, String model, String prompt) {
        return new ChatCall(key, Optional.empty(), model, prompt, Optional.empty(), true);
    }

    /**
     * Returns the same call with a request class.
     *
     * @param name the request class
     * @return the call
     */
    public ChatCall inClass(String name) {
        return new ChatCall(key, Optional.of(name), model, prompt, maxTokens, stream);
    }

    /**
     * Returns the same call without streaming.
     *
     * @return the call
     */
    public ChatCall whole() {
        return new ChatCall(key, requestClass, model, prompt, maxTokens, false);
    }

    /**
     * Returns the text with which an engine answers the request.
     *
     * @return the complete text
     */
    public String expectedText() {
        EngineAnswers answers = new EngineAnswers(EngineAnswers.DEFAULT_MEAN_TOKENS);
        return answers.answer(Json.tree(body())).text();
    }

    /**
     * Returns the body of the request.
     *
     * @return the JSON text
     */
    public String body() {
        return Json.write(
                new Body(
                        model,
                        List.of(new Message("user", prompt)),
                        stream,
                        maxTokens.orElse(null)));
    }

    /**
     * Holds the body of a chat request.
     *
     * @param model the model
     * @param messages the messages
     * @param stream whether the answer is streamed
     * @param maxTokens the largest number of tokens, or null
     */
    private record Body(
            String model,
            List<Message> messages,
            boolean stream,
            @JsonProperty("max_tokens") Integer maxTokens) {}

    /**
     * Holds one message.
     *
     * @param role the role of the author
     * @param content the text
     */
    private record Message(String role, String content) {}
}
