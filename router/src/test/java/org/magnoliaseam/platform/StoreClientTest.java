package org.magnoliaseam.platform;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.Base64;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.eclipse.jetty.client.HttpClient;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.magnoliaseam.rollout.Revision;

/** Tests reads of the store against scripted responses. */
class StoreClientTest {

    private static final long LIMIT_MILLIS = 2000;

    private final HttpClient mClient = new HttpClient();

    /** The responses by a part of the request that they belong to; the first match counts. */
    private final Map<String, String> mResponses = new LinkedHashMap<>();

    /** The era of each response by a part of its request; none if there is no match. */
    private final Map<String, String> mEras = new LinkedHashMap<>();

    private HttpServer mServer;

    private StoreClient mStore;

    @BeforeEach
    void start() throws Exception {
        mServer = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 0);
        mServer.createContext("/", this::respond);
        mServer.start();
        mClient.start();
        mStore = new StoreClient(mClient, mServer.getAddress());
    }

    @AfterEach
    void stop() throws Exception {
        mClient.stop();
        mServer.stop(0);
    }

    private void respond(HttpExchange exchange) throws IOException {
        String request = exchange.getRequestURI().toString();
        String body =
                mResponses.entrySet().stream()
                        .filter(entry -> request.contains(entry.getKey()))
                        .map(Map.Entry::getValue)
                        .findFirst()
                        .orElse("{}");
        mEras.forEach(
                (part, era) -> {
                    if (request.contains(part)) {
                        exchange.getResponseHeaders().set("Store-Era", era);
                    }
                });
        byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
        exchange.sendResponseHeaders(200, bytes.length);
        exchange.getResponseBody().write(bytes);
        exchange.close();
    }

    private static String put(String key, String value, long revision) {
        byte[] bytes = value.getBytes(StandardCharsets.UTF_8);
        return "{\"key\":\"%s\",\"value\":\"%s\",\"revision\":%d}"
                .formatted(key, Base64.getEncoder().encodeToString(bytes), revision);
    }

    private static String delete(String key, long revision) {
        return "{\"key\":\"%s\",\"deleted\":true,\"revision\":%d}".formatted(key, revision);
    }

    private static String page(long revision, boolean more, String... items) {
        return "{\"items\":[%s],\"has_more\":%b,\"store_revision\":%d}"
                .formatted(String.join(",", items), more, revision);
    }

    private static String events(long revision, String... events) {
        return "{\"events\":[%s],\"store_revision\":%d}"
                .formatted(String.join(",", events), revision);
    }

    private StorePage readAll() throws Exception {
        return mStore.readAll("", LIMIT_MILLIS).get(LIMIT_MILLIS, TimeUnit.MILLISECONDS);
    }

    /** Returns the items as text in the order of their keys. */
    private static String[] texts(StorePage page) {
        return page.items().stream()
                .map(item -> item.key() + "=" + new String(item.value(), StandardCharsets.UTF_8))
                .sorted()
                .toArray(String[]::new);
    }

    /** Tests full reads of several pages, between which items change. */
    @Nested
    class Pages {
        @Test
        void readIsTheStateAtOneRevision() throws Exception {
            mResponses.put("kv-range?prefix=&after=b", page(14, false, put("c", "14", 14)));
            mResponses.put("kv-range?prefix=", page(10, true, put("a", "9", 9), put("b", "9", 9)));
            mResponses.put(
                    "kv-watch?prefix=&after=10",
                    events(
                            15,
                            put("a", "11", 11),
                            put("c", "12", 12),
                            delete("b", 13),
                            put("c", "14", 14),
                            put("d", "15", 15)));
            StorePage read = readAll();
            assertThat(texts(read)).containsExactly("a=11", "c=14", "d=15");
            assertThat(read.revision()).isEqualTo(new Revision(0, 15));
        }

        @Test
        void removalBetweenThePagesIsNotUndoneByAnOlderChange() throws Exception {
            mResponses.put("kv-range?prefix=&after=a", page(13, false));
            mResponses.put("kv-range?prefix=", page(10, true, put("a", "9", 9)));
            mResponses.put(
                    "kv-watch?prefix=&after=10", events(13, put("b", "11", 11), delete("b", 12)));
            assertThat(texts(readAll())).containsExactly("a=9");
        }

        @Test
        void pagesBeforeAndAfterARestoreAreNotJoined() {
            mResponses.put("kv-range?prefix=&after=a", page(13, false, put("b", "12", 12)));
            mResponses.put("kv-range?prefix=", page(10, true, put("a", "9", 9)));
            mEras.put("kv-range", "1");
            mEras.put("kv-range?prefix=&after=a", "2");
            assertThatThrownBy(this::read).hasRootCauseInstanceOf(StoreException.class);
        }

        @Test
        void eraThatIsNoNumberMakesTheResponseUnusable() {
            mResponses.put("kv-range", page(10, false, put("a", "9", 9)));
            mEras.put("kv-range", "soon");
            assertThatThrownBy(this::read).hasRootCauseInstanceOf(StoreException.class);
        }

        private void read() throws Exception {
            readAll();
        }

        @Test
        void onePageNeedsNoFurtherCall() throws Exception {
            mResponses.put("kv-range?prefix=", page(10, false, put("a", "9", 9)));
            StorePage read = readAll();
            assertThat(texts(read)).containsExactly("a=9");
            assertThat(read.revision()).isEqualTo(new Revision(0, 10));
        }

        @Test
        void emptyPageThatAnnouncesAnotherOneEndsTheRead() throws Exception {
            mResponses.put("kv-range?prefix=&after=a", page(13, true));
            mResponses.put("kv-range?prefix=", page(10, true, put("a", "9", 9)));
            mResponses.put("kv-watch", events(13));
            assertThat(texts(readAll())).containsExactly("a=9");
        }
    }
}
