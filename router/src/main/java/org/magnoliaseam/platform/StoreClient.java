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

/** Reads and watches the platform's metadata store. It never writes. */
final class StoreClient {

    /** The largest accepted response, a page of items in base64, in bytes. */
    private static final int MAX_RESPONSE_BYTES = 8 * 1024 * 1024;

    /** The time limit for a read, in milliseconds. */
    private static final long READ_TIMEOUT_MILLIS = 1500;

    /** The time that a response to a watch may take beyond the wait, in milliseconds. */
    private static final long WATCH_SLACK_MILLIS = 500;

    /** Parses JSON. */
    private static final ObjectMapper MAPPER = new ObjectMapper();

    /** The HTTP client. */
    private final HttpClient mClient;

    /** The base URL of the store. */
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
     * @param prefix the prefix of the keys
     * @param after the last key of the previous page; empty for the first page
     * @return the page
     * @throws StoreException if the store returned no usable page
     * @throws InterruptedException if the thread was interrupted
     */
    StorePage range(String prefix, String after) throws StoreException, InterruptedException {
        String query = "/-/kv-range?prefix=" + encode(prefix);
        String page = after.isEmpty() ? query : query + "&after=" + encode(after);
        return page(call(page, READ_TIMEOUT_MILLIS), "items");
    }

    /**
     * Waits for changes of items.
     *
     * @param prefix the prefix of the keys
     * @param after the revision whose later changes are returned
     * @param limitMillis the time limit for the response in milliseconds
     * @return the changes; empty if none came during the wait
     * @throws StoreException if the store returned no usable page; with status 410 if it no longer
     *     has the changes since the revision
     * @throws InterruptedException if the thread was interrupted
     */
    StorePage watch(String prefix, long after, long limitMillis)
            throws StoreException, InterruptedException {
        String query =
                "/-/kv-watch?prefix="
                        + encode(prefix)
                        + "&after="
                        + after
                        + "&wait_ms="
                        + (limitMillis - WATCH_SLACK_MILLIS);
        return page(call(query, limitMillis), "events");
    }

    /**
     * Sends a request to the store.
     *
     * @param pathAndQuery the path with query
     * @param limitMillis the time limit in milliseconds
     * @return the parsed response
     * @throws StoreException if there was no usable response
     * @throws InterruptedException if the thread was interrupted
     */
    private JsonNode call(String pathAndQuery, long limitMillis)
            throws StoreException, InterruptedException {
        Request request = mClient.newRequest(mBase + pathAndQuery);
        request.timeout(limitMillis, TimeUnit.MILLISECONDS);
        request.idleTimeout(limitMillis, TimeUnit.MILLISECONDS);
        try {
            ContentResponse response =
                    new CompletableResponseListener(request, MAX_RESPONSE_BYTES)
                            .send()
                            .get(limitMillis + READ_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
            if (response.getStatus() != 200) {
                throw new StoreException("status " + response.getStatus(), response.getStatus());
            }
            return MAPPER.readTree(response.getContent());
        } catch (ExecutionException e) {
            throw new StoreException(e.getCause().getClass().getSimpleName(), 0);
        } catch (TimeoutException e) {
            request.abort(e);
            throw new StoreException("no response", 0);
        } catch (IOException e) {
            if (e instanceof StoreException failure) {
                throw failure;
            }
            throw new StoreException("unreadable response: " + e.getMessage(), 0);
        }
    }

    /**
     * Converts a response to a page.
     *
     * @param root the response
     * @param list the key of the list of items
     * @return the page
     * @throws StoreException if the revision is missing
     */
    private static StorePage page(JsonNode root, String list) throws StoreException {
        JsonNode revision = root.path("store_revision");
        if (!revision.canConvertToLong()) {
            throw new StoreException("response without a revision", 0);
        }
        List<StoreItem> items = new ArrayList<>();
        for (JsonNode node : root.path(list)) {
            items.add(item(node));
        }
        return new StorePage(items, root.path("has_more").asBoolean(), revision.asLong());
    }

    /**
     * Converts an item.
     *
     * @param node the JSON object of the item or change
     * @return the item; its value is empty if it is not valid base64
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
     * Encodes a text for use in a query.
     *
     * @param text the text
     * @return the encoded text
     */
    private static String encode(String text) {
        return URLEncoder.encode(text, StandardCharsets.UTF_8);
    }
}
