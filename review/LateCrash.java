import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;

/** Case 12: a request crashes each replica that runs it, some tenths of a second after its first token. */
final class LateCrash {
    private static final int ZONES = 3;
    private static final int ENGINES = 6;
    private static final int CLIENT_ATTEMPTS = 10;
    private static final int LENGTH = 40;
    private static final int EVENTS_BEFORE_CRASH = 10;
    private static final long EVENT_MILLIS = 40;
    private static final long STABLE_WINDOW_MILLIS = 3000;
    private static final int ALLOWED_RETRIES = 3;
    private static final long BACK_MILLIS = 2000;
    private static final long LAPSE_MILLIS = 3600;

    private record Arrival(String id, long atMillis) {}

    private final Site3 site;
    private final boolean trouble;
    private final List<Arrival> arrivals = new CopyOnWriteArrayList<>();
    private final List<Long> crashes = new CopyOnWriteArrayList<>();
    private int started;
    private int soundWhole;
    private int soundCut;

    private LateCrash(Site3 site, boolean trouble) {
        this.site = site;
        this.trouble = trouble;
    }

    public static void main(String[] arguments) {
        Site3.run(arguments[0], (site, trouble) -> new LateCrash(site, trouble).run());
    }

    private boolean answer(Site3.Replica replica, Site3.Message request, Site3.Link link) throws Exception {
        Site3.readRequestBody(request, link.in);
        replica.ran(request);
        boolean deadly = request.target().equals("/review/deadly");
        String lastEvent = request.field("Last-Event-Id");
        int last = lastEvent == null ? 0 : Integer.parseInt(lastEvent);
        if (deadly) {
            arrivals.add(new Arrival(request.field("X-Request-Id"), Site3.millis()));
            site.note(request.field("X-Request-Id") + " (deadly) reaches " + replica.id + (last > 0 ? " behind event " + last : ""));
        }
        link.send(Site3.streamHead(replica, request));
        for (int i = last + 1; i <= LENGTH; i++) {
            if (deadly && trouble && i > last + EVENTS_BEFORE_CRASH) {
                crash(replica);
                return false;
            }
            Site3.pause(EVENT_MILLIS);
            link.send(Site3.chunk(Site3.event(i)));
        }
        link.send("0\r\n\r\n");
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
        site.replica("i-" + zone + "-" + started++, "tutor", zone, 64, this::answer);
    }

    private int run() throws Exception {
        site.note("TROUBLE=" + (trouble ? "1: the request crashes each replica that runs it" : "0: the request is sound"));
        site.store.put("op/config", new Config3(7).text());
        for (int i = 0; i < ENGINES; i++) {
            startReplica("zone-" + (1 + i % ZONES));
        }
        for (int i = 1; i <= ZONES; i++) {
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
        boolean[] ended = new boolean[1];
        Thread[] sound = new Thread[4 * ZONES];
        for (int i = 0; i < sound.length; i++) {
            int client = i;
            sound[i] = Site3.thread("sound-" + i, () -> soundClient(client, ended));
        }
        for (int i = 0; i < CLIENT_ATTEMPTS; i++) {
            Site3.Entry entry = site.entries.get(i % ZONES);
            try (Site3.Client client = entry.client()) {
                client.send(Config3.request("POST", "/review/deadly", "deadly-" + i, 5000, "the same body"));
                site.note("deadly-" + i + " at " + entry.name + " -> " + client.receive(6000));
            }
            Site3.pause(1500);
        }
        synchronized (ended) {
            ended[0] = true;
        }
        for (Thread client : sound) {
            client.join();
        }
        return verdict();
    }

    private void soundClient(int client, boolean[] ended) throws Exception {
        for (int number = 0; true; number++) {
            synchronized (ended) {
                if (ended[0]) {
                    return;
                }
            }
            try (Site3.Client connection = site.entries.get(client % ZONES).client()) {
                String id = "sound-" + client + "-" + number;
                connection.send(Config3.request("POST", "/query/" + id, id, 3000, "query " + id));
                Site3.Message answer = connection.receive(4000);
                synchronized (this) {
                    soundWhole += answer.complete && answer.status() == 200 ? 1 : 0;
                    soundCut += answer.status() == 200 && !answer.complete ? 1 : 0;
                }
            }
            Site3.pause(100);
        }
    }

    private int verdict() {
        synchronized (this) {
            site.note("sound streams that may not be resumed: " + soundWhole + " whole, " + soundCut + " cut");
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
