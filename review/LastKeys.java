import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

/**
 * Two tenants with one key each lose their keys. Checks that no request runs whose key no
 * configuration ever held (ROUTE), and none with a dropped key later than config_ms after the
 * acknowledgement (CONFIG).
 */
final class LastKeys {
    /** The bounds of kameelboom-seam. */
    private static final long CONFIG_MILLIS = 2000;

    /** The pause between two revocations, as in the troubles of kameelboom-seam. */
    private static final long GAP_MILLIS = 1500;

    private static final String STRANGE_KEY = "key-of-nobody";
    private static final String NO_KEY = "";

    private record Sent(String key, long nanos) {}

    private static final Map<String, Sent> SENT = new ConcurrentHashMap<>();
    private static final Map<String, Long> RUNS = new ConcurrentHashMap<>();
    private static final Map<String, Long> REVOKED = new ConcurrentHashMap<>();

    private LastKeys() {}

    private static String configuration(int version, String firstKeys, String secondKeys) {
        return "{\"version\":" + version + ",\"routes\":["
                + "{\"name\":\"enrol-pay\",\"host\":\"school.example\",\"prefix\":\"/pay/\","
                + "\"kind\":\"unsafe\",\"timeout_ms\":1000,\"target_latency_ms\":121,"
                + "\"service\":\"enrolment-desk\",\"max_attempts\":1,\"priority\":2},"
                + "{\"name\":\"timetable-look\",\"host\":\"school.example\",\"prefix\":\"/look/\","
                + "\"kind\":\"safe\",\"timeout_ms\":1000,\"target_latency_ms\":121,"
                + "\"service\":\"enrolment-desk\",\"max_attempts\":2,\"priority\":2}],"
                + "\"services\":[{\"name\":\"enrolment-desk\",\"max_connections\":100}],"
                + "\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,"
                + "\"header_timeout_ms\":5000,\"idle_timeout_ms\":15000},"
                + "\"tenants\":[{\"name\":\"school-a\",\"api_keys\":[" + firstKeys + "]},"
                + "{\"name\":\"school-b\",\"api_keys\":[" + secondKeys + "]}]}";
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
        int version = 7;
        site.store.put("op/config", configuration(version, "\"key-a\"", "\"key-b\""));
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
        for (String key : List.of("key-a", "key-b", STRANGE_KEY, NO_KEY)) {
            Thread client = new Thread(() -> client(site, router, key, end), "client");
            client.start();
            clients.add(client);
        }
        Thread.sleep(5000);
        site.store.put(
                "op/config", configuration(version + 3, trouble ? "" : "\"key-a\"", "\"key-b\""));
        acknowledged(site, trouble, "key-a", version + 3);
        Thread.sleep(GAP_MILLIS);
        site.store.put(
                "op/config",
                configuration(
                        version + 4,
                        trouble ? "" : "\"key-a\"",
                        trouble ? "" : "\"key-b\""));
        acknowledged(site, trouble, "key-b", version + 4);
        Thread.sleep(CONFIG_MILLIS + 6000);
        end.countDown();
        for (Thread client : clients) {
            client.join();
        }
        return judge(site);
    }

    private static void acknowledged(Site site, boolean trouble, String key, int version) {
        if (trouble) {
            REVOKED.put(key, System.nanoTime());
        }
        site.note("store acknowledged version " + version
                + (trouble ? ", key taken away: " + key : ""));
    }

    private static void client(Site site, Site.Router router, String key, CountDownLatch end) {
        int number = 0;
        try {
            while (!end.await(50, TimeUnit.MILLISECONDS)) {
                boolean pay = number % 2 == 0;
                String id = "r" + (key.isEmpty() ? "none" : key.substring(4)) + ++number;
                String body = pay ? "amount=40" : "";
                String request =
                        (pay ? "POST /pay/" : "GET /look/") + number + " HTTP/1.1\r\n"
                                + "Host: school.example\r\nX-Request-Id: " + id + "\r\n"
                                + "X-Deadline-Ms: 1000\r\n"
                                + (key.isEmpty() ? "" : "Authorization: Bearer " + key + "\r\n")
                                + (pay ? "Content-Length: " + body.length() + "\r\n" : "")
                                + "Connection: close\r\n\r\n" + body;
                SENT.put(id, new Sent(key, System.nanoTime()));
                String result;
                try {
                    Client.Answer answer =
                            Client.once(router.host, router.callers, request, 1500);
                    result = Integer.toString(answer.status);
                } catch (IOException e) {
                    result = e.toString();
                }
                site.note("client key='" + key + "' sent " + id + " answered " + result);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private static int judge(Site site) {
        int strange = 0;
        int without = 0;
        int dropped = 0;
        int served = 0;
        for (String id : RUNS.keySet()) {
            Sent sent = SENT.get(id);
            Long revoked = REVOKED.get(sent.key());
            if (sent.key().equals(STRANGE_KEY)) {
                strange++;
            } else if (sent.key().equals(NO_KEY)) {
                without++;
            } else if (revoked != null
                    && sent.nanos() - revoked > TimeUnit.MILLISECONDS.toNanos(CONFIG_MILLIS)) {
                dropped++;
            } else {
                served++;
            }
        }
        site.note("requests with a key that is in force, run: " + served);
        site.note("requests run without any key, not counted: " + without);
        site.note("ROUTE: requests run whose key no configuration ever held: " + strange);
        site.note("CONFIG: requests run with a dropped key, sent later than config_ms: " + dropped);
        if (served < 20) {
            site.note("too few requests were served");
            return 2;
        }
        boolean broken = strange > 0 || dropped > 0;
        site.note(broken ? "broken" : "held");
        return broken ? 1 : 0;
    }
}
