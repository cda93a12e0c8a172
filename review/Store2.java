package stand2;

import java.io.IOException;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Base64;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** Stands in for the platform's store as the users' pages describe it: pages, watches, 20 s of history. */
final class Store2 {

    private static final int PAGE_ITEMS = 500;

    private static final int PAGE_BYTES = 1 << 20;

    private static final long HISTORY_MILLIS = 20_000;

    private static final int VALUE_BYTES = 1_048_576;

    private record Item(String key, String json, long revision, long millis) {}

    private final TreeMap<String, Item> mItems = new TreeMap<>();

    private final Map<String, Long> mCreated = new HashMap<>();

    private final Deque<Item> mHistory = new ArrayDeque<>();

    private long mRevision = 100;

    private long mForgotten = 100;

    /** The time after which a waiting watch is cut; 0 if none is cut. */
    private volatile long mCutMillis;

    final int port;

    Store2() throws IOException {
        port = new Site2.Listener((socket, in, out) -> {
            while (true) {
                String head = Site2.Http.head(in);
                if (head.isEmpty()) {
                    return;
                }
                byte[] body;
                try {
                    body = answer(head.split(" ")[1]);
                } catch (CutException e) {
                    return;
                }
                int status = body == null ? 410 : 200;
                byte[] bytes = body == null ? Site2.ascii("{}") : body;
                out.write(Site2.ascii("HTTP/1.1 " + status + " x\r\nContent-Type: application/json\r\nContent-Length: "
                        + bytes.length + "\r\n\r\n"));
                out.write(bytes);
                out.flush();
            }
        }).port;
    }

    /** Thrown where a waiting watch is cut. */
    private static final class CutException extends RuntimeException {
        private static final long serialVersionUID = 1;
    }

    /** Cuts each watch that has waited for this time, by closing its connection. */
    void cutWatchesAfter(long millis) {
        mCutMillis = millis;
    }

    /** Removes an item and returns after the removal is acknowledged. */
    synchronized long delete(String key) {
        long revision = ++mRevision;
        mItems.remove(key);
        mCreated.remove(key);
        mHistory.add(new Item(key, "{\"key\":\"" + key + "\",\"revision\":" + revision + ",\"deleted\":true}",
                revision, Site2.millis()));
        notifyAll();
        return revision;
    }

    /** Writes a value and returns after it is acknowledged. */
    synchronized long put(String key, String value) {
        byte[] bytes = value.getBytes(StandardCharsets.UTF_8);
        if (bytes.length > VALUE_BYTES) {
            throw new IllegalArgumentException("the value is larger than value_bytes");
        }
        long revision = ++mRevision;
        long created = mCreated.computeIfAbsent(key, any -> revision);
        Item item = new Item(key, "{\"key\":\"" + key + "\",\"value\":\"" + Base64.getEncoder().encodeToString(bytes)
                + "\",\"revision\":" + revision + ",\"created\":" + created + ",\"lease\":0}", revision, Site2.millis());
        mItems.put(key, item);
        mHistory.add(item);
        notifyAll();
        return revision;
    }

    private synchronized byte[] answer(String target) throws InterruptedException {
        Map<String, String> query = new HashMap<>();
        for (String pair : target.substring(target.indexOf('?') + 1).split("&")) {
            int mark = pair.indexOf('=');
            query.put(pair.substring(0, mark), URLDecoder.decode(pair.substring(mark + 1), StandardCharsets.UTF_8));
        }
        String prefix = query.getOrDefault("prefix", "");
        if (target.startsWith("/-/kv-range")) {
            return page(prefix, query.getOrDefault("after", ""));
        }
        long after = Long.parseLong(query.get("after"));
        long begin = Site2.millis();
        long end = begin + Long.parseLong(query.getOrDefault("wait_ms", "0"));
        List<String> events = events(prefix, after);
        while (events != null && events.isEmpty() && Site2.millis() < end) {
            if (mCutMillis > 0 && Site2.millis() - begin >= mCutMillis) {
                throw new CutException();
            }
            wait(Math.max(1, Math.min(50, end - Site2.millis())));
            events = events(prefix, after);
        }
        return events == null ? null
                : Site2.ascii("{\"events\":[" + String.join(",", events) + "],\"store_revision\":" + mRevision + "}");
    }

    private byte[] page(String prefix, String after) {
        List<String> items = new ArrayList<>();
        int bytes = 0;
        boolean more = false;
        for (Item item : mItems.tailMap(after, false).values()) {
            if (!item.key().startsWith(prefix)) {
                continue;
            }
            if (items.size() == PAGE_ITEMS || !items.isEmpty() && bytes + item.json().length() > PAGE_BYTES) {
                more = true;
                break;
            }
            items.add(item.json());
            bytes += item.json().length();
        }
        return Site2.ascii("{\"items\":[" + String.join(",", items) + "],\"has_more\":" + more + ",\"store_revision\":"
                + mRevision + "}");
    }

    private List<String> events(String prefix, long after) {
        while (!mHistory.isEmpty() && Site2.millis() - mHistory.peek().millis() > HISTORY_MILLIS) {
            mForgotten = mHistory.remove().revision();
        }
        if (after < mForgotten) {
            return null;
        }
        List<String> events = new ArrayList<>();
        for (Item item : mHistory) {
            if (item.revision() > after && item.key().startsWith(prefix)) {
                events.add(item.json());
            }
        }
        return events;
    }
}
