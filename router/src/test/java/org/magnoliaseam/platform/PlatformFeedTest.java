package org.magnoliaseam.platform;

import static org.assertj.core.api.Assertions.assertThat;
import static org.awaitility.Awaitility.await;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Base64;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.eclipse.jetty.client.HttpClient;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.magnoliaseam.catalog.Catalog;
import org.magnoliaseam.gateway.CurrentCatalog;
import org.magnoliaseam.gateway.PublishedRevision;
import org.magnoliaseam.gateway.RetryLimits;
import org.magnoliaseam.gateway.ServerPool;
import org.magnoliaseam.model.FailureDomain;
import org.magnoliaseam.model.VmId;
import org.magnoliaseam.rollout.Revision;
import org.magnoliaseam.settings.StoreSettings;

/** Tests how the router follows a metadata store that fails. */
class PlatformFeedTest {

    /** The stated time within which contact is restored. */
    private static final Duration CONTACT_LIMIT = Duration.ofSeconds(3);

    private static final String CONFIGURATION =
            "{\"version\":%d,\"routes\":[],\"services\":[],\"limits\":{},\"tenants\":[]}";

    private static final String SERVER =
            "{\"service\":\"desk\",\"address\":\"127.0.0.1:1\",\"zone\":\"domain-1\","
                    + "\"version\":\"v1\",\"slots\":8,\"state\":\"ready\",\"sequence\":1}";

    private final ExecutorService mThreads = Executors.newCachedThreadPool();

    private final HttpClient mClient = new HttpClient();

    private final CurrentCatalog mCatalog = new CurrentCatalog(CONTACT_LIMIT, System::nanoTime);

    private final ServerPool mPool =
            new ServerPool(
                    new FailureDomain("domain-1"), () -> new RetryLimits(0, 0), System::nanoTime);

    private final PublishedRevision mPublished = new PublishedRevision();

    private final AtomicInteger mWatches = new AtomicInteger();

    private HttpServer mStore;

    private PlatformFeed mFeed;

    /** Items that are listed and returned with each change, each followed by a comma. */
    private volatile String mMoreItems = "";

    /** Whether the store has lost its history and shows the state of revision 3. */
    private volatile boolean mOlder;

    private volatile boolean mSilent;

    /** Whether calls that are open get no response while later ones do. */
    private volatile boolean mStalled;

    /** The time after which the store cuts a watch that waits, in milliseconds; 0 for never. */
    private volatile long mCutMillis;

    /** The status with which the store ends a watch that it cuts; 0 to close the connection. */
    private volatile int mCutStatus;

    /** The spaces that the store adds to the answers of watches. */
    private volatile int mPadding;

    private volatile int mVersion = 1;

    @BeforeEach
    void start() throws Exception {
        mClient.start();
        mStore = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 0);
        mStore.setExecutor(mThreads);
        mStore.createContext("/-/kv-range", this::range);
        mStore.createContext("/-/kv-watch", this::watch);
        mStore.start();
        mFeed =
                new PlatformFeed(
                        settings(),
                        mClient,
                        mCatalog,
                        mPool.publishedServers(),
                        mPublished,
                        System::nanoTime);
        mFeed.start();
        await().atMost(Duration.ofSeconds(5)).until(mFeed::complete);
    }

    @AfterEach
    void stop() throws Exception {
        mFeed.stop();
        mStore.stop(0);
        mThreads.shutdownNow();
        mClient.stop();
    }

    private StoreSettings settings() {
        InetSocketAddress unused = InetSocketAddress.createUnresolved("127.0.0.1", 1);
        return new StoreSettings(
                new VmId("entry-1"),
                new FailureDomain("domain-1"),
                unused,
                unused,
                unused,
                unused,
                mStore.getAddress(),
                CONTACT_LIMIT,
                List.of(),
                0,
                0,
                Duration.ofSeconds(1),
                Duration.ZERO,
                Duration.ofMillis(1200));
    }

    private static String item(String key, String value, long revision) {
        byte[] bytes = value.getBytes(StandardCharsets.UTF_8);
        return "{\"key\":\"%s\",\"value\":\"%s\",\"revision\":%d}"
                .formatted(key, Base64.getEncoder().encodeToString(bytes), revision);
    }

    private void range(HttpExchange exchange) throws IOException {
        if (mOlder) {
            answer(exchange, "{\"items\":[],\"store_revision\":3}");
            return;
        }
        String items =
                mMoreItems
                        + item("op/config", CONFIGURATION.formatted(mVersion), 10 + mVersion)
                        + ","
                        + item("servers/i-1", SERVER, 5)
                        + ","
                        + item("other/key", "ignored", 6);
        answer(exchange, "{\"items\":[" + items + "],\"store_revision\":" + (10 + mVersion) + "}");
    }

    private void watch(HttpExchange exchange) throws IOException {
        mWatches.incrementAndGet();
        if (mOlder) {
            exchange.sendResponseHeaders(410, -1);
            exchange.close();
            return;
        }
        String query = exchange.getRequestURI().getQuery();
        long after = Long.parseLong(query.replaceAll(".*after=(\\d+).*", "$1"));
        long wait = Long.parseLong(query.replaceAll(".*wait_ms=(\\d+).*", "$1"));
        boolean silent = mSilent;
        boolean stalled = mStalled;
        long cut = mCutMillis;
        try {
            for (long waited = 0; silent || waited < wait && after >= 10 + mVersion; waited += 5) {
                TimeUnit.MILLISECONDS.sleep(5);
                silent |= mSilent || mStalled != stalled;
                if (cut > 0 && waited >= cut) {
                    if (mCutStatus > 0) {
                        exchange.sendResponseHeaders(mCutStatus, -1);
                    }
                    exchange.close();
                    return;
                }
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return;
        }
        boolean changed = after < 10 + mVersion;
        String event = item("op/config", CONFIGURATION.formatted(mVersion), 10 + mVersion);
        answer(
                exchange,
                "{\"events\":[%s],\"store_revision\":%d}"
                                .formatted(changed ? mMoreItems + event : "", 10 + mVersion)
                        + " ".repeat(changed ? mPadding : 0));
    }

    private static void answer(HttpExchange exchange, String body) throws IOException {
        byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
        exchange.sendResponseHeaders(200, bytes.length);
        exchange.getResponseBody().write(bytes);
        exchange.close();
    }

    private long version() {
        return mCatalog.catalog().map(Catalog::version).orElse(0L);
    }

    /** Tests a store that answers. */
    @Nested
    class Reachable {
        @Test
        void oneWatchFollowsAllKeys() throws InterruptedException {
            assertThat(mPool.size()).isEqualTo(1);
            TimeUnit.MILLISECONDS.sleep(200);
            assertThat(mWatches).hasValue(1);
        }

        @Test
        void catalogStaysFreshBetweenTwoAnswers() throws InterruptedException {
            long end = System.nanoTime() + CONTACT_LIMIT.toNanos();
            while (System.nanoTime() < end) {
                assertThat(mCatalog.fresh()).isTrue();
                TimeUnit.MILLISECONDS.sleep(20);
            }
        }

        @Test
        void changeIsAppliedAtOnce() {
            mVersion = 2;
            await().atMost(Duration.ofSeconds(1)).until(() -> version() == 2);
        }
    }

    /** Tests a store that shows an older state than before. */
    @Nested
    class Older {
        @Test
        void olderStateIsNotApplied() throws InterruptedException {
            mOlder = true;
            int before = mWatches.get();
            await().atMost(Duration.ofSeconds(10)).until(() -> mWatches.get() > before);
            TimeUnit.MILLISECONDS.sleep(500);
            assertThat(mPool.size()).isEqualTo(1);
            mVersion = 2;
            mOlder = false;
            await().atMost(CONTACT_LIMIT).until(() -> version() == 2);
        }
    }

    /** Tests changes that are larger than the router accepts in one answer. */
    @Nested
    class TooLarge {
        private static final int BYTES = 9 * 1024 * 1024;

        /** Guards against an old configuration in force since the changes to it are too large. */
        @Test
        void allItemsAreReadInstead() {
            mPadding = BYTES;
            mVersion = 2;
            await().atMost(Duration.ofSeconds(2)).until(() -> version() == 2);
            mVersion = 3;
            await().atMost(Duration.ofSeconds(2)).until(() -> version() == 3);
            assertThat(mPool.size()).isEqualTo(1);
        }
    }

    /** Tests items that cannot be used. */
    @Nested
    class Unusable {
        @Test
        void changesBesideAMalformedFailureDomainAreApplied() {
            mMoreItems = item("op/evacuate/no domain", "", 11) + ",";
            mVersion = 2;
            await().atMost(Duration.ofSeconds(1)).until(() -> version() == 2);
            mVersion = 3;
            await().atMost(Duration.ofSeconds(1)).until(() -> version() == 3);
        }
    }

    /** Tests an odd entry of another writer among those of the backend servers. */
    @Nested
    class OddEntry {
        private static final int DEPTH = 200_000;

        @ParameterizedTest
        @ValueSource(
                strings = {
                    "nested",
                    "{\"slots\":1e999999}",
                    "{\"address\":\"127.0.0.1:99999999999\"}",
                    "{\"state\":[[]],\"service\":{}}",
                    "\u0000\u0001",
                    ""
                })
        void othersHoldAndTheStoreIsFollowedOn(String value) {
            String entry = value.equals("nested") ? "[".repeat(DEPTH) + "]".repeat(DEPTH) : value;
            mMoreItems = item("servers/odd", entry, 11) + ",";
            mVersion = 2;
            await().atMost(Duration.ofSeconds(1)).until(() -> version() == 2);
            mVersion = 3;
            await().atMost(Duration.ofSeconds(1)).until(() -> version() == 3);
            assertThat(mPool.size()).isEqualTo(1);
        }
    }

    /** Tests a store that is silent for some time. */
    @Nested
    class Silent {
        @Test
        void changeDuringTheSilenceIsAppliedWithinTheContactLimit() {
            int before = mWatches.get();
            mSilent = true;
            await().atMost(Duration.ofSeconds(10)).until(() -> mWatches.get() > before);
            mVersion = 2;
            mSilent = false;
            await().atMost(CONTACT_LIMIT).until(() -> version() == 2);
        }
    }

    /** Tests removals of backend servers beside cut watches and outages. */
    @Nested
    class Removal {
        private static final String REMOVED =
                "{\"key\":\"servers/i-1\",\"revision\":12,\"deleted\":true},";

        /** The time in which a removal has to take effect, in milliseconds. */
        private static final long DRAIN_MILLIS = 2000;

        private void remove() {
            mMoreItems = REMOVED;
            mVersion = 2;
        }

        /** Guards against removals that are held back because the store cuts watches. */
        @ParameterizedTest
        @ValueSource(longs = {10, 200, 1000})
        void cutWatchesDoNotHoldBackARemoval(long cutMillis) throws InterruptedException {
            mCutMillis = cutMillis;
            int before = mWatches.get();
            await().atMost(Duration.ofSeconds(10)).until(() -> mWatches.get() >= before + 4);
            remove();
            await().atMost(Duration.ofMillis(DRAIN_MILLIS)).until(() -> mPool.size() == 0);
        }

        /** Guards against removals that are held back because the store refuses to wait on. */
        @ParameterizedTest
        @ValueSource(ints = {429, 503})
        void refusalsToWaitOnDoNotHoldBackARemoval(int status) throws InterruptedException {
            mCutStatus = status;
            cutWatchesDoNotHoldBackARemoval(1500);
        }

        /** Guards against a removal that is held back because of one cut just before it. */
        @Test
        void singleCutDoesNotHoldBackARemoval() {
            mCutMillis = 100;
            int before = mWatches.get();
            await().atMost(Duration.ofSeconds(10)).until(() -> mWatches.get() > before + 1);
            mCutMillis = 0;
            remove();
            await().atMost(Duration.ofMillis(DRAIN_MILLIS)).until(() -> mPool.size() == 0);
        }

        @Test
        void entryThatExpiredDuringAnOutageIsKeptForAWhile() {
            int before = mWatches.get();
            mSilent = true;
            await().atMost(Duration.ofSeconds(10)).until(() -> mWatches.get() > before + 2);
            remove();
            mSilent = false;
            await().atMost(CONTACT_LIMIT).until(() -> version() == 2);
            assertThat(mPool.size()).isEqualTo(1);
        }
    }

    /** Tests reports of entry VMs that have a newer state. */
    @Nested
    class Peers {
        @Test
        void changeThatAPeerHasIsAppliedSoonAlthoughTheOpenCallIsSilent() {
            int before = mWatches.get();
            await().atMost(Duration.ofSeconds(10)).until(() -> mWatches.get() > before);
            mStalled = true;
            mVersion = 2;
            mPublished.heard(new Revision(0, 12));
            await().atMost(Duration.ofMillis(800)).until(() -> version() == 2);
        }
    }
}
