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
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.eclipse.jetty.client.CompletableResponseListener;
import org.eclipse.jetty.client.ContentResponse;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.Request;
import org.eclipse.jetty.http.HttpStatus;
import org.magnoliaseam.rollout.Revision;

/** Reads and watches the platform's metadata store. It never writes. */
final class StoreClient {

    /** The largest accepted response, a page of items in base64, in bytes. */
    private static final int MAX_RESPONSE_BYTES = 8 * 1024 * 1024;

    /** Parses JSON. */
    private static final ObjectMapper MAPPER = new ObjectMapper();

    /** The HTTP client. */
    private final HttpClient mClient;

    /** The base URL of the store. */
    private final String mBase;

    /**
     * Holds a response.
     *
     * @param root the JSON object
     * @param era the era that the store states; 0 if none
     */
    private record Answer(JsonNode root, long era) {}

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
     * Reads all items. If there are several pages, the changes that were made while they were read
     * are applied, so that the result is the state at one revision.
     *
     * @param prefix the prefix of the keys
     * @param limitMillis the time limit for each page in milliseconds
     * @return the items; fails with {@link StoreException} if the store returned no usable page
     */
    CompletableFuture<StorePage> readAll(String prefix, long limitMillis) {
        return page(prefix, "", limitMillis)
                .thenCompose(
                        first ->
                                first.more()
                                        ? readOn(prefix, first, first, limitMillis)
                                        : CompletableFuture.completedFuture(first));
    }

    /**
     * Reads the pages after the first one, and the changes that were made meanwhile.
     *
     * @param prefix the prefix of the keys
     * @param first the first page
     * @param read the items read so far
     * @param limitMillis the time limit for each page in milliseconds
     * @return the items at one revision
     */
    private CompletableFuture<StorePage> readOn(
            String prefix, StorePage first, StorePage read, long limitMillis) {
        if (!read.more() || read.items().isEmpty()) {
            return watch(prefix, first.revision(), 0, limitMillis).thenApply(read::with);
        }
        String last = read.items().get(read.items().size() - 1).key();
        return page(prefix, last, limitMillis)
                .thenCompose(next -> readOn(prefix, first, read.followedBy(next), limitMillis));
    }

    /**
     * Reads a page of items.
     *
     * @param prefix the prefix of the keys
     * @param after the last key of the previous page; empty for the first page
     * @param limitMillis the time limit in milliseconds
     * @return the page
     */
    private CompletableFuture<StorePage> page(String prefix, String after, long limitMillis) {
        String query = "/-/kv-range?prefix=" + encode(prefix);
        String page = after.isEmpty() ? query : query + "&after=" + encode(after);
        return call(page, limitMillis).thenApply(answer -> page(answer, "items"));
    }

    /**
     * Waits for changes of items.
     *
     * @param prefix the prefix of the keys
     * @param after the revision whose later changes are returned
     * @param waitMillis the time to wait for a change in milliseconds; 0 to return at once
     * @param limitMillis the time limit for the response in milliseconds
     * @return the changes, empty if none came during the wait; fails with {@link StoreException} if
     *     the store returned no usable page, with status 410 if it no longer has the changes since
     *     the revision
     */
    CompletableFuture<StorePage> watch(
            String prefix, Revision after, long waitMillis, long limitMillis) {
        String query =
                "/-/kv-watch?prefix="
                        + encode(prefix)
                        + "&after="
                        + after.number()
                        + "&wait_ms="
                        + waitMillis;
        return call(query, limitMillis).thenApply(answer -> page(answer, "events"));
    }

    /**
     * Sends a request to the store.
     *
     * @param pathAndQuery the path with query
     * @param limitMillis the time limit in milliseconds
     * @return the parsed response; fails with {@link StoreException} if there was no usable one
     */
    private CompletableFuture<Answer> call(String pathAndQuery, long limitMillis) {
        Request request = mClient.newRequest(mBase + pathAndQuery);
        request.timeout(limitMillis, TimeUnit.MILLISECONDS);
        request.idleTimeout(limitMillis, TimeUnit.MILLISECONDS);
        return new CompletableResponseListener(request, MAX_RESPONSE_BYTES)
                .send()
                .handle(StoreClient::parse);
    }

    /**
     * Parses a response.
     *
     * @param response the response; null if there was none
     * @param failure why there was none; null if there was one
     * @return the parsed response
     * @throws StoreException if there is no usable response
     */
    private static Answer parse(ContentResponse response, Throwable failure) {
        if (failure != null) {
            throw new StoreException(failure);
        }
        if (response.getStatus() != HttpStatus.OK_200) {
            throw new StoreException("status " + response.getStatus(), response.getStatus());
        }
        try {
            return new Answer(MAPPER.readTree(response.getContent()), era(response));
        } catch (IOException | NumberFormatException e) {
            throw new StoreException("unreadable response: " + e.getMessage(), 0);
        }
    }

    /**
     * Reads the era that the store states.
     *
     * @param response the response
     * @return the era; 0 if the response states none
     * @throws NumberFormatException if the response states no number
     */
    private static long era(ContentResponse response) {
        String text = response.getHeaders().get(WireNames.STORE_ERA);
        return text == null ? 0 : Long.parseLong(text);
    }

    /**
     * Converts a response to a page.
     *
     * @param answer the response
     * @param list the key of the list of items
     * @return the page
     * @throws StoreException if the revision is missing
     */
    private static StorePage page(Answer answer, String list) {
        JsonNode root = answer.root();
        JsonNode revision = root.path("store_revision");
        if (!revision.canConvertToLong()) {
            throw new StoreException("response without a revision", 0);
        }
        List<StoreItem> items = new ArrayList<>();
        for (JsonNode node : root.path(list)) {
            items.add(item(node, answer.era()));
        }
        return new StorePage(
                items,
                root.path("has_more").asBoolean(),
                new Revision(answer.era(), revision.asLong()));
    }

    /**
     * Converts an item.
     *
     * @param node the JSON object of the item or change
     * @param era the era of the response
     * @return the item; its value is empty if it is not valid base64
     */
    private static StoreItem item(JsonNode node, long era) {
        String key = node.path("key").asText();
        Revision revision = new Revision(era, node.path("revision").asLong());
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
