import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** The platform's store: range reads and watches. A sound store that loses nothing. */
final class Store implements AutoCloseable {
    private static final int PAGE_ITEMS = 50;

    private record Item(String key, String value, long revision) {
        String json() {
            String head = "{\"key\":\"" + key + "\",\"revision\":" + revision;
            return value == null
                    ? head + ",\"deleted\":true}"
                    : head + ",\"created\":" + revision + ",\"lease\":0,\"value\":\"" + value + "\"}";
        }
    }

    private final ServerSocket server = new ServerSocket(0, 64, InetAddress.getByName("127.0.0.1"));
    private final TreeMap<String, Item> items = new TreeMap<>();
    private final List<Item> changes = new ArrayList<>();
    private long revision = 100;

    Store() throws IOException {
        Thread thread = new Thread(this::accept, "store");
        thread.setDaemon(true);
        thread.start();
    }

    String address() {
        return "127.0.0.1:" + server.getLocalPort();
    }

    /** Writes an item; the return is the acknowledgement. */
    synchronized void put(String key, String value) {
        byte[] bytes = value.getBytes(StandardCharsets.UTF_8);
        Item item = new Item(key, Base64.getEncoder().encodeToString(bytes), ++revision);
        items.put(key, item);
        changes.add(item);
        notifyAll();
    }

    synchronized void delete(String key) {
        items.remove(key);
        changes.add(new Item(key, null, ++revision));
        notifyAll();
    }

    private void accept() {
        while (!server.isClosed()) {
            try {
                Socket socket = server.accept();
                Thread thread = new Thread(() -> serve(socket), "store-connection");
                thread.setDaemon(true);
                thread.start();
            } catch (IOException e) {
                return;
            }
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            socket.setTcpNoDelay(true);
            BufferedInputStream in = new BufferedInputStream(socket.getInputStream());
            OutputStream out = socket.getOutputStream();
            while (true) {
                Http.Head head = Http.readHead(in);
                if (head == null) {
                    return;
                }
                String body = answer(head.target());
                byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
                out.write(
                        Site.ascii(
                                "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
                                        + "Content-Length: " + bytes.length + "\r\n\r\n"));
                out.write(bytes);
                out.flush();
            }
        } catch (IOException | InterruptedException e) {
            // The connection ends.
        }
    }

    private String answer(String target) throws InterruptedException {
        int mark = target.indexOf('?');
        Map<String, String> query = new TreeMap<>();
        for (String pair : target.substring(mark + 1).split("&")) {
            int equals = pair.indexOf('=');
            query.put(
                    pair.substring(0, equals),
                    URLDecoder.decode(pair.substring(equals + 1), StandardCharsets.UTF_8));
        }
        String prefix = query.getOrDefault("prefix", "");
        return target.startsWith("/-/kv-range")
                ? range(prefix, query.getOrDefault("after", ""))
                : watch(
                        prefix,
                        Long.parseLong(query.getOrDefault("after", "0")),
                        Long.parseLong(query.getOrDefault("wait_ms", "0")));
    }

    private synchronized String range(String prefix, String after) {
        List<String> page = new ArrayList<>();
        boolean more = false;
        for (Item item : items.tailMap(after, false).values()) {
            if (item.key().startsWith(prefix)) {
                more = page.size() == PAGE_ITEMS;
                if (more) {
                    break;
                }
                page.add(item.json());
            }
        }
        return "{\"items\":[" + String.join(",", page) + "],\"has_more\":" + more
                + ",\"store_revision\":" + revision + "}";
    }

    private synchronized String watch(String prefix, long after, long waitMillis)
            throws InterruptedException {
        long end = System.nanoTime() + waitMillis * 1_000_000;
        List<String> events = events(prefix, after);
        long left = end - System.nanoTime();
        while (events.isEmpty() && left > 0) {
            wait(Math.max(1, left / 1_000_000));
            events = events(prefix, after);
            left = end - System.nanoTime();
        }
        return "{\"events\":[" + String.join(",", events) + "],\"store_revision\":" + revision + "}";
    }

    private List<String> events(String prefix, long after) {
        List<String> events = new ArrayList<>();
        for (Item change : changes) {
            if (change.revision() > after && change.key().startsWith(prefix)) {
                events.add(change.json());
            }
        }
        return events;
    }

    @Override
    public void close() throws IOException {
        server.close();
    }
}
