package org.magnoliaseam.testbed.platform;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Keeps every published value with its time, so that readers can be shown earlier states. Access is
 * synchronized.
 */
public final class PublishedValues {

    /** The values of each site and kind in the order of their publication. */
    private final Map<Key, List<Entry>> mEntries = new HashMap<>();

    /**
     * Publishes a value, whose version may be lower than that of the last one.
     *
     * @param site the site
     * @param kind the kind of the value
     * @param value the value as served; it has a field {@code version}
     * @param nowMillis the time of the publication in milliseconds since the epoch
     * @throws IllegalArgumentException if the value has no version
     */
    public synchronized void publish(String site, ValueKind kind, JsonNode value, long nowMillis) {
        if (!value.path("version").isIntegralNumber()) {
            throw new IllegalArgumentException("The value has no integer version");
        }
        mEntries.computeIfAbsent(new Key(site, kind), key -> new ArrayList<>())
                .add(new Entry(nowMillis, value));
    }

    /**
     * Tells whether a site has values of a kind.
     *
     * @param site the site
     * @param kind the kind of the values
     * @return whether there is at least one
     */
    public synchronized boolean has(String site, ValueKind kind) {
        return mEntries.containsKey(new Key(site, kind));
    }

    /**
     * Returns the last value published until a time.
     *
     * @param site the site
     * @param kind the kind of the value
     * @param atMillis the time in milliseconds since the epoch
     * @param newerThan the version that the reader has
     * @return the value, if its version is higher than that of the reader
     */
    public synchronized Optional<JsonNode> visible(
            String site, ValueKind kind, long atMillis, long newerThan) {
        JsonNode last = null;
        for (Entry entry : mEntries.getOrDefault(new Key(site, kind), List.of())) {
            if (entry.publishedMillis() <= atMillis) {
                last = entry.value();
            }
        }
        return Optional.ofNullable(last)
                .filter(value -> value.path("version").asLong() > newerThan);
    }

    /**
     * Identifies a series of values.
     *
     * @param site the site
     * @param kind the kind of the values
     */
    private record Key(String site, ValueKind kind) {}

    /**
     * Holds one published value.
     *
     * @param publishedMillis the time of the publication in milliseconds since the epoch
     * @param value the value as served
     */
    private record Entry(long publishedMillis, JsonNode value) {}
}
