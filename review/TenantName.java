import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A new version of the configuration takes a key away and, with the disruption, adds the tenant
 * "Kameelboom West". Checks that from config_ms after the acknowledgement the dropped key is refused
 * and the added key is served (CONFIG).
 */
final class TenantName {
    /** The bound of kameelboom-seam. */
    private static final long CONFIG_MILLIS = 2000;

    private record Sent(String key, long nanos) {}

    private static final Map<String, Sent> SENT = new ConcurrentHashMap<>();
    private static final Map<String, Long> RUNS = new ConcurrentHashMap<>();
    private static final AtomicInteger ADDED_REFUSED = new AtomicInteger();
    private static final AtomicInteger SERVED = new AtomicInteger();
    private static volatile long acknowledged;

    private TenantName() {}

    private static String configuration(int version, String firstKeys, boolean added) {
        return "{\"version\":" + version + ",\"routes\":["
                + "{\"name\":\"enrol-pay\",\"host\":\"school.example\",\"prefix\":\"/pay/\","
                + "\"kind\":\"unsafe\",\"timeout_ms\":1000,\"target_latency_ms\":121,"
                + "\"service\":\"enrolment-desk\",\"max_attempts\":1,\"priority\":2}],"
                + "\"services\":[{\"name\":\"enrolment-desk\",\"max_connections\":100}],"
                + "\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,"
                + "\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000},"
                + "\"tenants\":[{\"name\":\"school-a\",\"api_keys\":[" + firstKeys + "]}"
                + (added ? ",{\"name\":\"Kameelboom West\",\"api_keys\":[\"key-west\"]}" : "")
                + "]}";
    }

    public static void main(String[] arguments) throws Exception {
        boolean trouble = !"0".equals(arguments[2]);
        Path repository = Path.of(arguments[0]);
        try (Site site = new Site(repository, Path.of(arguments[1]))) {
            System.exit(run(site, trouble));
        }
    }

    private static int run(Site site, boolean trouble) throws Exception {
        site.note("trouble=" + trouble);
        site.store.put("op/config", configuration(7, "\"key-a\",\"key-old\"", false));
        for (int i = 1; i <= 2; i++) {
            Replica replica =
                    new Replica(site, "desk-" + i, "enrolment-desk", "erongo-" + i, 6) {
                        @Override
                        void ran(Http.Head head, byte[] body) {
                            RUNS.put(head.field("X-Request-Id"), System.nanoTime());
                        }
                    };
            site.replicas.add(replica);
            replica.publish("ready");
        }
        Site.Router router = site.addRouter("front-erongo-1-1", "127.0.0.1", "erongo-1");
        site.start(router);
        if (!site.awaitReady(router, 30)) {
            site.note("the router is not ready");
            return 2;
        }
        CountDownLatch end = new CountDownLatch(1);
        List<Thread> clients = new ArrayList<>();
        List<String> keys =
                trouble ? List.of("key-a", "key-old", "key-west") : List.of("key-a", "key-old");
        for (String key : keys) {
            Thread client = new Thread(() -> client(site, router, key, end), "client");
            client.start();
            clients.add(client);
        }
        Thread.sleep(4000);
        site.store.put("op/config", configuration(10, "\"key-a\"", trouble));
        acknowledged = System.nanoTime();
        site.note("store acknowledged version 10, key-old taken away"
                + (trouble ? ", tenant Kameelboom West added" : ""));
        Thread.sleep(CONFIG_MILLIS + 8000);
        end.countDown();
        for (Thread client : clients) {
            client.join();
        }
        return judge(site);
    }

    private static boolean late(Sent sent) {
        return acknowledged != 0
                && sent.nanos() - acknowledged > TimeUnit.MILLISECONDS.toNanos(CONFIG_MILLIS);
    }

    private static void client(Site site, Site.Router router, String key, CountDownLatch end) {
        int number = 0;
        try {
            while (!end.await(50, TimeUnit.MILLISECONDS)) {
                String id = key + "-" + ++number;
                String request = "POST /pay/" + number + " HTTP/1.1\r\nHost: school.example\r\n"
                        + "X-Request-Id: " + id + "\r\nX-Deadline-Ms: 1000\r\n"
                        + "Authorization: Bearer " + key + "\r\n"
                        + "Content-Length: 9\r\nConnection: close\r\n\r\namount=40";
                Sent sent = new Sent(key, System.nanoTime());
                SENT.put(id, sent);
                String result;
                try {
                    Client.Answer answer = Client.once(router.host, router.callers, request, 1500);
                    result = Integer.toString(answer.status);
                    SERVED.addAndGet(answer.status == 200 ? 1 : 0);
                    boolean refused = List.of(401, 403, 404).contains(answer.status);
                    ADDED_REFUSED.addAndGet(
                            key.equals("key-west") && refused && late(sent) ? 1 : 0);
                } catch (IOException e) {
                    result = e.toString();
                }
                site.note("client sent " + id + " answered " + result);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private static int judge(Site site) {
        long dropped =
                RUNS.keySet().stream()
                        .map(SENT::get)
                        .filter(sent -> sent.key().equals("key-old") && late(sent))
                        .count();
        site.note("served " + SERVED);
        site.note("CONFIG: requests run with the dropped key, sent later than config_ms: " + dropped);
        site.note("CONFIG: requests refused though their key is there, sent later than config_ms: "
                + ADDED_REFUSED);
        if (SERVED.get() < 50) {
            return 2;
        }
        boolean broken = dropped > 0 || ADDED_REFUSED.get() > 0;
        site.note(broken ? "broken" : "held");
        return broken ? 1 : 0;
    }
}
