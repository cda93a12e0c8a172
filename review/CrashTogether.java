import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.CopyOnWriteArrayList;

/** Case 14: a request that crashes replicas comes several times at once, at different machines. */
final class CrashTogether {
    private static final int ZONES = 4;
    private static final int WAVES = 4;
    private static final long WAVE_GAP_MILLIS = 5000;
    private static final long STABLE_WINDOW_MILLIS = 3000;
    private static final int ALLOWED_RETRIES = 3;
    private static final long BACK_MILLIS = 2000;
    private static final long LAPSE_MILLIS = 3600;

    private record Arrival(String id, String replica, long atMillis) {}

    private final Site3 site;
    private final boolean trouble;
    private final List<Arrival> arrivals = new CopyOnWriteArrayList<>();
    private final List<Long> crashes = new CopyOnWriteArrayList<>();
    private final Map<String, Integer> soundAnswers = new TreeMap<>();
    private int started;

    private CrashTogether(Site3 site, boolean trouble) {
        this.site = site;
        this.trouble = trouble;
    }

    public static void main(String[] arguments) {
        Site3.run(arguments[0], (site, trouble) -> new CrashTogether(site, trouble).run());
    }

    private boolean answer(Site3.Replica replica, Site3.Message request, Site3.Link link) throws Exception {
        Site3.readRequestBody(request, link.in);
        replica.ran(request);
        boolean deadly = request.target().equals("/order/deadly");
        if (deadly) {
            arrivals.add(new Arrival(request.field("X-Request-Id"), replica.id, Site3.millis()));
            site.note(request.field("X-Request-Id") + " (deadly) begins to run at " + replica.id);
        }
        Site3.pause(20);
        if (deadly && trouble) {
            crash(replica);
            return false;
        }
        link.send(Site3.ok(replica, request, "done " + request.target()));
        return true;
    }

    /** The replica ends, is back under a new id after 2 s, and its old entry lapses after three heartbeats. */
    private synchronized void crash(Site3.Replica replica) {
        if (!replica.socket.isClosed()) {
            crashes.add(Site3.millis());
            site.note(replica.id + " crashes, crash " + crashes.size());
            replica.stop();
            Site3.thread("back", () -> {
                Site3.pause(BACK_MILLIS);
                startReplica(replica.zone);
                Site3.pause(LAPSE_MILLIS - BACK_MILLIS);
                site.store.delete("servers/" + replica.id);
            });
        }
    }

    private synchronized void startReplica(String zone) throws Exception {
        site.replica("i-" + zone + "-" + started++, "desk", zone, 6, this::answer);
    }

    private int run() throws Exception {
        site.note("TROUBLE=" + (trouble ? "1: the request crashes each replica that runs it" : "0: the request is sound"));
        site.store.put("op/config", new Config3(7).text());
        for (int i = 1; i <= ZONES; i++) {
            startReplica("zone-" + i);
            site.entry("front-" + i, "zone-" + i);
        }
        for (Site3.Entry entry : site.entries) {
            entry.start();
        }
        for (Site3.Entry entry : site.entries) {
            if (!entry.awaitReady(30_000)) {
                site.note("not ready: " + entry.name);
                return 2;
            }
        }
        Site3.pause(STABLE_WINDOW_MILLIS + 1000);
        long end = Site3.millis() + WAVES * WAVE_GAP_MILLIS;
        List<Thread> clients = new ArrayList<>();
        for (int i = 0; i < 2 * ZONES; i++) {
            int client = i;
            clients.add(Site3.thread("sound-" + i, () -> soundClient(client, end)));
        }
        Site3.pause(1000);
        for (int wave = 0; wave < WAVES; wave++) {
            wave(wave);
            Site3.pause(Math.max(0, WAVE_GAP_MILLIS - 500));
        }
        for (Thread client : clients) {
            client.join();
        }
        return verdict();
    }

    private void wave(int wave) throws InterruptedException {
        List<Thread> copies = new ArrayList<>();
        for (int i = 0; i < ZONES; i++) {
            String id = "copy-" + wave + "-" + i;
            Site3.Entry entry = site.entries.get(i);
            copies.add(Site3.thread(id, () -> {
                try (Site3.Client client = entry.client()) {
                    client.send(Config3.request("POST", "/order/deadly", id, 1000, "the same body"));
                    site.note(id + " at " + entry.name + " -> " + client.receive(3000));
                }
            }));
        }
        for (Thread copy : copies) {
            copy.join();
        }
    }

    private void soundClient(int client, long end) throws Exception {
        int number = 0;
        while (Site3.millis() < end) {
            try (Site3.Client connection = site.entries.get(client % ZONES).client()) {
                boolean open = true;
                for (int i = 0; i < 10 && open && Site3.millis() < end; i++) {
                    String id = "sound-" + client + "-" + number++;
                    boolean look = number % 2 == 0;
                    connection.send(Config3.request(look ? "GET" : "POST", (look ? "/look/" : "/order/") + id, id, 1000,
                            look ? null : "order " + id));
                    Site3.Message answer = connection.receive(3000);
                    synchronized (soundAnswers) {
                        soundAnswers.merge((look ? "look " : "order ") + answer.status(), 1, Integer::sum);
                    }
                    open = answer.complete && !"close".equalsIgnoreCase(answer.field("Connection"));
                    Site3.pause(60);
                }
            }
        }
    }

    private int verdict() {
        synchronized (soundAnswers) {
            site.note("answers to the other requests: " + soundAnswers);
        }
        if (arrivals.isEmpty()) {
            return 2;
        }
        if (crashes.size() < 3) {
            site.note("crashes " + crashes.size());
            return 0;
        }
        long third = crashes.get(2);
        long later = arrivals.stream().filter(arrival -> arrival.atMillis() > third + STABLE_WINDOW_MILLIS).count();
        site.note("crashes " + crashes.size() + ", the third at " + third + " ms; the request reached replicas " + later
                + " times later than " + STABLE_WINDOW_MILLIS + " ms after it, allowed " + ALLOWED_RETRIES);
        if (later > ALLOWED_RETRIES) {
            site.note("RULE BROKEN: BUDGET");
            return 1;
        }
        return 0;
    }
}
