package org.magnoliaseam.testbed.store;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.magnoliaseam.testbed.http.HttpExchange;
import org.magnoliaseam.testbed.http.ListenAddress;
import org.magnoliaseam.testbed.http.StandInServer;

/** Stands in for the metadata store, with items by key, paged reads and long-polling watches. */
public final class StoreStandIn implements AutoCloseable {

    /** The largest number of items in a page. */
    private static final int PAGE_ITEMS = 3;

    /** The header field with the number of times that the store came back from a copy. */
    private static final String ERA_FIELD = "Store-Era";

    /** The status of a watch from a revision that the store does not have. */
    private static final int GONE = 410;

    /** The server. */
    private final StandInServer mServer;

    /** The items by key. */
    private final TreeMap<String, Map<String, Object>> mItems = new TreeMap<>();

    /** The changes since the last compaction, in order. */
    private final List<Map<String, Object>> mChanges = new ArrayList<>();

    /** The revision of the last change. */
    private long mRevision = 100;

    /** The revision up to which the history has been compacted. */
    private long mCompactedRevision = 100;

    /** Rises each time the store comes back from a copy. */
    private long mEra = 1;

    /**
     * Holds the state of a store at one revision.
     *
     * @param items the items by key
     * @param changes the changes up to the revision, in order
     * @param revision the revision
     */
    public record Copy(
            Map<String, Map<String, Object>> items,
            List<Map<String, Object>> changes,
            long revision) {}

    /**
     * Starts a store.
     *
     * @param address the address to listen on
     * @throws Exception if the port cannot be opened
     */
    public StoreStandIn(ListenAddress address) throws Exception {
        mServer = new StandInServer(address, this::handle).start();
    }

    /**
     * Returns the HTTP server, in which tests inject faults.
     *
     * @return the server
     */
    public StandInServer server() {
        return mServer;
    }

    /**
     * Writes an item.
     *
     * @param key the key
     * @param value the text of the value
     */
    public synchronized void put(String key, String value) {
        Map<String, Object> item = new HashMap<>();
        item.put("key", key);
        byte[] bytes = value.getBytes(StandardCharsets.UTF_8);
        item.put("value", Base64.getEncoder().encodeToString(bytes));
        item.put("revision", ++mRevision);
        mItems.put(key, item);
        mChanges.add(item);
        notifyAll();
    }

    /**
     * Removes an item.
     *
     * @param key the key
     */
    public synchronized void delete(String key) {
        mItems.remove(key);
        mChanges.add(Map.of("key", key, "revision", ++mRevision, "deleted", true));
        notifyAll();
    }

    /** Discards the history of changes, so that watches have to read all items again. */
    public synchronized void compact() {
        mChanges.clear();
        mCompactedRevision = ++mRevision;
        notifyAll();
    }

    /**
     * Returns a copy of the store.
     *
     * @return the current state
     */
    public synchronized Copy copy() {
        return new Copy(Map.copyOf(mItems), List.copyOf(mChanges), mRevision);
    }

    /**
     * Goes back to a copy. Later revisions are given out again.
     *
     * @param copy the copy
     */
    public synchronized void restore(Copy copy) {
        mItems.clear();
        mItems.putAll(copy.items());
        mChanges.clear();
        mChanges.addAll(copy.changes());
        mRevision = copy.revision();
        mCompactedRevision = Math.min(mCompactedRevision, mRevision);
        mEra++;
        notifyAll();
    }

    @Override
    public void close() throws Exception {
        mServer.close();
    }

    /**
     * Handles a request.
     *
     * @param exchange the request
     */
    private void handle(HttpExchange exchange) {
        String prefix = exchange.query("prefix").orElse("");
        if (exchange.path().endsWith("kv-range")) {
            range(exchange, prefix, exchange.query("after").orElse(""));
        } else {
            watch(exchange, prefix);
        }
    }

    /**
     * Answers with a page of items.
     *
     * @param exchange the request
     * @param prefix the prefix of the keys
     * @param after the key after which the page begins, exclusive
     */
    private synchronized void range(HttpExchange exchange, String prefix, String after) {
        List<Map<String, Object>> items = new ArrayList<>();
        for (Map.Entry<String, Map<String, Object>> entry : mItems.tailMap(after).entrySet()) {
            if (entry.getKey().startsWith(prefix) && !entry.getKey().equals(after)) {
                items.add(entry.getValue());
            }
        }
        exchange.with(ERA_FIELD, Long.toString(mEra));
        boolean more = items.size() > PAGE_ITEMS;
        List<Map<String, Object>> page = more ? items.subList(0, PAGE_ITEMS) : items;
        exchange.json(200, Map.of("items", page, "has_more", more, "store_revision", mRevision));
    }

    /**
     * Answers with changes as soon as there are any, or without changes after the requested time.
     *
     * @param exchange the request
     * @param prefix the prefix of the keys
     */
    private synchronized void watch(HttpExchange exchange, String prefix) {
        long after = exchange.number("after", 0);
        long end = System.nanoTime() + exchange.number("wait_ms", 0) * 1_000_000;
        List<Map<String, Object>> events = events(prefix, after);
        try {
            long left = end - System.nanoTime();
            while (events.isEmpty() && isAvailable(after) && left > 0) {
                wait(Math.max(1, left / 1_000_000));
                events = events(prefix, after);
                left = end - System.nanoTime();
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        exchange.with(ERA_FIELD, Long.toString(mEra));
        if (!isAvailable(after)) {
            exchange.empty(GONE);
        } else {
            exchange.json(200, Map.of("events", events, "store_revision", mRevision));
        }
    }

    /**
     * Tells whether the changes after a revision are available.
     *
     * @param revision the revision
     * @return false if the history was compacted since, or the store does not have the revision
     */
    private boolean isAvailable(long revision) {
        return revision >= mCompactedRevision && revision <= mRevision;
    }

    /**
     * Returns the changes after a revision.
     *
     * @param prefix the prefix of the keys
     * @param after the revision, exclusive
     * @return the changes in order
     */
    private List<Map<String, Object>> events(String prefix, long after) {
        List<Map<String, Object>> events = new ArrayList<>();
        for (Map<String, Object> change : mChanges) {
            boolean newer = ((Number) change.get("revision")).longValue() > after;
            if (newer && change.get("key").toString().startsWith(prefix)) {
                events.add(change);
            }
        }
        return events;
    }
}
