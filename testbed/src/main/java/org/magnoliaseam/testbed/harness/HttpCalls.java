package org.magnoliaseam.testbed.harness;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.eclipse.jetty.client.ContentResponse;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.Request;
import org.eclipse.jetty.client.StringRequestContent;
import org.eclipse.jetty.http.HttpMethod;
import org.magnoliaseam.testbed.http.Json;
import org.magnoliaseam.testbed.http.ListenAddress;

/** Sends HTTP requests to the processes of a site and reads JSON answers. */
public final class HttpCalls {

    /** The longest wait for an answer. */
    private static final long TIMEOUT_SECONDS = 20;

    /** The client. */
    private final HttpClient mClient;

    /**
     * Wraps a client.
     *
     * @param client the started client
     */
    public HttpCalls(HttpClient client) {
        mClient = client;
    }

    /**
     * Gets a value. A request without an answer is retried once, because the server may have reset
     * the pooled connection.
     *
     * @param address the server
     * @param path the path with its query
     * @return the JSON answer; an empty object if the answer has no body
     * @throws IllegalStateException if there is no answer with a 2xx status
     */
    public JsonNode get(ListenAddress address, String path) {
        try {
            return json(request(address, path));
        } catch (NoAnswerException e) {
            return json(request(address, path));
        }
    }

    /**
     * Posts a value.
     *
     * @param address the server
     * @param path the path with its query
     * @param body the value to write as JSON
     * @return the JSON answer; an empty object if the answer has no body
     * @throws IllegalStateException if there is no answer with a 2xx status
     */
    public JsonNode post(ListenAddress address, String path, Object body) {
        return postText(address, path, Json.write(body));
    }

    /**
     * Posts a text.
     *
     * @param address the server
     * @param path the path with its query
     * @param json the JSON text
     * @return the JSON answer; an empty object if the answer has no body
     * @throws IllegalStateException if there is no answer with a 2xx status
     */
    public JsonNode postText(ListenAddress address, String path, String json) {
        return json(
                request(address, path)
                        .method(HttpMethod.POST)
                        .body(new StringRequestContent("application/json", json)));
    }

    /**
     * Returns the status of an answer.
     *
     * @param address the server
     * @param path the path with its query
     * @return the status, or 0 if there is no answer
     */
    public int status(ListenAddress address, String path) {
        try {
            return send(request(address, path)).getStatus();
        } catch (IllegalStateException e) {
            return 0;
        }
    }

    /**
     * Prepares a request.
     *
     * @param address the server
     * @param path the path with its query
     * @return the request
     */
    private Request request(ListenAddress address, String path) {
        return mClient.newRequest("http://" + address + path)
                .timeout(TIMEOUT_SECONDS, TimeUnit.SECONDS);
    }

    /**
     * Sends a request and reads the answer.
     *
     * @param request the request
     * @return the JSON answer
     */
    private static JsonNode json(Request request) {
        ContentResponse response = send(request);
        if (response.getStatus() / 100 != 2) {
            throw new IllegalStateException(
                    request.getURI()
                            + " answered "
                            + response.getStatus()
                            + " "
                            + response.getContentAsString());
        }
        String body = response.getContentAsString();
        return Json.tree(body.isEmpty() ? "{}" : body);
    }

    /**
     * Sends a request.
     *
     * @param request the request
     * @return the answer
     */
    private static ContentResponse send(Request request) {
        try {
            return request.send();
        } catch (ExecutionException | TimeoutException e) {
            throw new NoAnswerException(request.getURI() + " did not answer: " + e, e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IllegalStateException(e);
        }
    }

    /** Reports that a server did not answer. */
    private static final class NoAnswerException extends IllegalStateException {

        /** The version of the serial form. */
        private static final long serialVersionUID = 1;

        /**
         * Creates an exception.
         *
         * @param message the message
         * @param cause the cause
         */
        NoAnswerException(String message, Throwable cause) {
            super(message, cause);
        }
    }
}
