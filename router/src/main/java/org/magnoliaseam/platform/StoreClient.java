package org.magnoliaseam.platform;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.List;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.eclipse.jetty.client.CompletableResponseListener;
import org.eclipse.jetty.client.ContentResponse;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.Request;

/** Reads and watches the platform's metadata store; it writes nothing. */
final class StoreClient {

    /** The largest answer in bytes: a page of items in base64. */
    private static final int MAX_ANSWER_BYTES = 8 * 1024 * 1024;

    /** The time limit for a read in milliseconds. */
    private static final long READ_MILLIS = 1500;

    /** The time by which an answer to a watch may exceed its wait, in milliseconds. */
    private static final long WATCH_SLACK_MILLIS = 700;

    /** Reads JSON. */
    private static final ObjectMapper MAPPER = new ObjectMapper();

    /** The HTTP client. */
    private final HttpClient mClient;

    /** The address of the store. */
    private final String mBase;

    /**
     * Creates a client.
     *
     * @param client the started HTTP client
     * @param address the address of the store
     */
    StoreClient(HttpClient client, InetSocketAddress address) {
        mClient = client;
        mBase = "http://" + address.getHostString() + ":" + address.getPort();
    }

    /**
     * Reads a page of items.
     *
     * @param prefix the beginning of the keys
     * @param after the key after which the page begins; empty for the first page
     * @return the page
     * @throws StoreException if the store gave no page
     * @throws InterruptedException if the thread was interrupted
     */
    StorePage range(String prefix, String after) throws StoreException, InterruptedException {
        String query = "/-/kv-range?prefix=" + encode(prefix);
        String page = after.isEmpty() ? query : query + "&after=" + encode(after);
        return page(call(page, READ_MILLIS), "items");
    }

    /**
     * Waits for changes.
     *
     * @param prefix the beginning of the keys
     * @param after the revision after which changes count
     * @param waitMillis the longest wait in milliseconds
     * @return the changes, none if the wait has passed
     * @throws StoreException if the store gave no answer; with status 410 if the history is gone
     * @throws InterruptedException if the thread was interrupted
     */
    StorePage watch(String prefix, long after, long waitMillis)
            throws StoreException, InterruptedException {
        String query =
                "/-/kv-watch?prefix="
                        + encode(prefix)
                        + "&after="
                        + after
                        + "&wait_ms="
                        + waitMillis;
        return page(call(query, waitMillis + WATCH_SLACK_MILLIS), "events");
    }

    /**
     * Calls the store.
     *
     * @param pathAndQuery the path with query
     * @param limitMillis the time limit in milliseconds
     * @return the parsed answer
     * @throws StoreException if there was no usable answer
     * @throws InterruptedException if the thread was interrupted
     */
    private JsonNode call(String pathAndQuery, long limitMillis)
            throws StoreException, InterruptedException {
        Request request = mClient.newRequest(mBase + pathAndQuery);
        request.timeout(limitMillis, TimeUnit.MILLISECONDS);
        request.idleTimeout(limitMillis, TimeUnit.MILLISECONDS);
        try {
            ContentResponse answer =
                    new CompletableResponseListener(request, MAX_ANSWER_BYTES)
                            .send()
                            .get(limitMillis + READ_MILLIS, TimeUnit.MILLISECONDS);
            if (answer.getStatus() != 200) {
                throw new StoreException("status " + answer.getStatus(), answer.getStatus());
            }
            return MAPPER.readTree(answer.getContent());
        } catch (ExecutionException e) {
            throw new StoreException(String.valueOf(e.getCause()), 0);
        } catch (TimeoutException e) {
            request.abort(e);
            throw new StoreException("no answer", 0);
        } catch (IOException e) {
            if (e instanceof StoreException failure) {
                throw failure;
            }
            throw new StoreException("unreadable answer: " + e.getMessage(), 0);
        }
    }

    /**
     * Reads a page out of an answer.
     *
     * @param root the answer
     * @param list the name of the list in it
     * @return the page
     * @throws StoreException if the revision is missing
     */
    private static StorePage page(JsonNode root, String list) throws StoreException {
        JsonNode revision = root.path("store_revision");
        if (!revision.canConvertToLong()) {
            throw new StoreException("answer without a revision", 0);
        }
        List<StoreItem> items = new ArrayList<>();
        for (JsonNode node : root.path(list)) {
            items.add(item(node));
        }
        return new StorePage(items, root.path("has_more").asBoolean(), revision.asLong());
    }

    /**
     * Reads one item.
     *
     * @param node the item or change
     * @return the item; its value is empty if it cannot be read
     */
    private static StoreItem item(JsonNode node) {
        String key = node.path("key").asText();
        long revision = node.path("revision").asLong();
        if (node.path("deleted").asBoolean()) {
            return new StoreItem(key, null, revision);
        }
        try {
            byte[] value = Base64.getDecoder().decode(node.path("value").asText());
            return new StoreItem(key, value, revision);
        } catch (IllegalArgumentException e) {
            return new StoreItem(key, new byte[0], revision);
        }
    }

    /**
     * Encodes a text for a query.
     *
     * @param text the text
     * @return the encoded text
     */
    private static String encode(String text) {
        return URLEncoder.encode(text, StandardCharsets.UTF_8);
    }
}
