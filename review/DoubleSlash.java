import java.io.IOException;
import java.nio.file.Path;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A new version of the configuration adds a route that takes a whole host. Some clients of that host
 * send paths that begin with two slashes. Checks that each request that a replica runs has the
 * method, path and query that its client sent (UNASKED).
 */
final class DoubleSlash {
    private static final Map<String, String> SENT = new ConcurrentHashMap<>();
    private static final AtomicInteger RUNS = new AtomicInteger();
    private static final AtomicInteger CHANGED = new AtomicInteger();

    private DoubleSlash() {}

    private static String configuration(int version, boolean added) {
        String desk =
                "{\"name\":\"desk\",\"host\":\"desk.example\",\"prefix\":\"/\",\"kind\":\"unsafe\","
                        + "\"timeout_ms\":1000,\"target_latency_ms\":121,"
                        + "\"service\":\"enrolment-desk\",\"max_attempts\":1,\"priority\":2},";
        return "{\"version\":" + version + ",\"routes\":[" + (added ? desk : "")
                + "{\"name\":\"enrol-pay\",\"host\":\"school.example\",\"prefix\":\"/pay/\","
                + "\"kind\":\"unsafe\",\"timeout_ms\":" + (900 + version)
                + ",\"target_latency_ms\":121,\"service\":\"enrolment-desk\",\"max_attempts\":1,"
                + "\"priority\":2}],"
                + "\"services\":[{\"name\":\"enrolment-desk\",\"max_connections\":100}],"
                + "\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,"
                + "\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000},"
                + "\"tenants\":[{\"name\":\"school-a\",\"api_keys\":[\"key-a\"]}]}";
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
        site.store.put("op/config", configuration(7, false));
        for (int i = 1; i <= 2; i++) {
            Replica replica =
                    new Replica(site, "desk-" + i, "enrolment-desk", "erongo-" + i, 6) {
                        @Override
                        void ran(Http.Head head, byte[] body) {
                            RUNS.incrementAndGet();
                            String sent = SENT.get(head.field("X-Request-Id"));
                            if (!head.line().equals(sent)) {
                                CHANGED.incrementAndGet();
                                site.note("UNASKED: runs '" + head.line() + "', sent was '" + sent
                                        + "'");
                            }
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
        for (int i = 1; i <= 120; i++) {
            if (i == 40) {
                site.store.put("op/config", configuration(10, trouble));
                site.note("store acknowledged version 10" + (trouble ? ", route desk added" : ""));
            }
            send(site, router, i, "school.example", "/pay/course-" + i + "?seats=2");
            send(site, router, i, "desk.example", "/enrol/course-" + i + "?seats=2");
            send(site, router, i, "desk.example", "//enrol/course-" + i + "?seats=2");
            Thread.sleep(50);
        }
        site.note("runs " + RUNS);
        site.note("UNASKED: requests run with another path than was sent: " + CHANGED);
        if (RUNS.get() < 100) {
            return 2;
        }
        site.note(CHANGED.get() > 0 ? "broken" : "held");
        return CHANGED.get() > 0 ? 1 : 0;
    }

    private static void send(Site site, Site.Router router, int number, String host, String path) {
        String id = host.substring(0, 4) + (path.startsWith("//") ? "-double-" : "-") + number;
        String line = "POST " + path + " HTTP/1.1";
        SENT.put(id, line);
        String request = line + "\r\nHost: " + host + "\r\nX-Request-Id: " + id
                + "\r\nX-Deadline-Ms: 1000\r\nAuthorization: Bearer key-a\r\n"
                + "Connection: close\r\nContent-Length: 9\r\n\r\namount=40";
        String result;
        try {
            Client.Answer answer = Client.once(router.host, router.callers, request, 1500);
            result = Integer.toString(answer.status);
        } catch (IOException e) {
            result = e.toString();
        }
        site.note("client sent " + id + " '" + line + "' to " + host + ", answered " + result);
    }
}
