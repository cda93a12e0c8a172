import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.TreeSet;
import java.util.Set;

/** Case 13: replicas reset part of their requests for some seconds, while prompts with new shared parts come. */
final class NewParts {
    private static final int ZONES = 3;
    private static final int ENGINES = 6;
    private static final int PARTS = 30;
    private static final double RESET_SHARE = 0.45;
    private static final long GREY_MILLIS = 6500;
    private static final long STABLE_WINDOW_MILLIS = 3000;
    private static final long CALM_MILLIS = 5000;
    private static final long AFTER_MILLIS = 16_000;
    private static final int FEWEST = 10;
    private static final int LEAST_SHARE = 12;
    private static final String QUERY = "/query/";
    private static final String REVIEW = "/review/";

    private record Asked(String kind, String part, long atMillis, boolean served) {}

    private final Site3 site;
    private final boolean trouble;
    private final Random random = new Random(51);
    private final List<Asked> asked = new ArrayList<>();
    private final List<Long> reviewsBegun = new ArrayList<>();
    private volatile long greyUntil;
    private int number;

    private NewParts(Site3 site, boolean trouble) {
        this.site = site;
        this.trouble = trouble;
    }

    public static void main(String[] arguments) {
        Site3.run(arguments[0], (site, trouble) -> new NewParts(site, trouble).run());
    }

    private boolean answer(Site3.Replica replica, Site3.Message request, Site3.Link link) throws Exception {
        Site3.readRequestBody(request, link.in);
        boolean resets;
        synchronized (random) {
            resets = trouble && Site3.millis() < greyUntil && random.nextDouble() < RESET_SHARE;
        }
        if (resets) {
            site.note(request.field("X-Request-Id") + " reset by " + replica.id);
            link.reset();
            return false;
        }
        replica.ran(request);
        boolean review = request.target().startsWith(REVIEW);
        if (review) {
            synchronized (reviewsBegun) {
                reviewsBegun.add(Site3.millis());
            }
        }
        Site3.pause(review ? 180 : 50);
        link.send(Site3.streamHead(replica, request));
        for (int i = 1; i <= 3; i++) {
            Site3.pause(10);
            link.send(Site3.chunk(Site3.event(i)));
        }
        link.send("0\r\n\r\n");
        return true;
    }

    private int run() throws Exception {
        site.note("TROUBLE=" + (trouble ? "1: replicas reset 0.45 of their requests for 6.5 s" : "0: replicas are sound"));
        site.store.put("op/config", new Config3(7).text());
        for (int i = 0; i < ENGINES; i++) {
            site.replica("i-tutor" + i, "tutor", "zone-" + (1 + i % ZONES), 64, this::answer);
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
        List<Thread> requests = new ArrayList<>();
        for (int i = 0; i < 8; i++) {
            ask(REVIEW, "a1", requests);
            Site3.pause(250);
        }
        long begin = Site3.millis();
        greyUntil = begin + GREY_MILLIS;
        site.note("the replicas begin to reset requests; prompts with " + PARTS + " new shared parts come");
        for (int part = 0; part < PARTS; part++) {
            for (int i = 0; i < 3; i++) {
                ask(QUERY, "b" + part, requests);
                Site3.pause(GREY_MILLIS / PARTS / 3);
            }
        }
        Site3.pause(Math.max(0, greyUntil - Site3.millis()));
        long calm = Site3.millis() + STABLE_WINDOW_MILLIS;
        site.note("the replicas are sound again");
        long end = Site3.millis() + AFTER_MILLIS;
        for (int i = 0; Site3.millis() < end; i++) {
            ask(QUERY, "b" + i % PARTS, requests);
            if (i % 8 == 0) {
                ask(REVIEW, "a1", requests);
            }
            Site3.pause(40);
        }
        for (Thread request : requests) {
            request.join();
        }
        return verdict(calm, end);
    }

    private void ask(String kind, String part, List<Thread> requests) {
        String id = kind.substring(1, 2) + number++;
        Site3.Entry entry = site.entries.get(number % ZONES);
        requests.add(Site3.thread(id, () -> {
            long begin = Site3.millis();
            boolean review = kind.equals(REVIEW);
            Site3.Message answer = new Site3.Message();
            try (Site3.Client client = entry.client()) {
                client.send(Config3.prompt(kind + id, id, review ? 5000 : 3000, review ? 9190 : 2368, part, review ? 2520 : 341));
                answer = client.receive(6000);
            }
            boolean served = answer.status() == 200 && answer.complete;
            synchronized (asked) {
                asked.add(new Asked(kind, part, begin, served));
            }
            if (!served && begin < greyUntil) {
                site.note(id + " with part " + part + " at " + entry.name + " -> " + answer);
            }
        }));
    }

    private int verdict(long calm, long end) {
        Set<String> parts = new TreeSet<>();
        int queries = 0;
        int nothing = 0;
        boolean broken = false;
        synchronized (asked) {
            for (Asked one : asked) {
                if (one.kind().equals(QUERY) && one.atMillis() >= calm) {
                    queries++;
                    if (!one.served()) {
                        nothing++;
                        parts.add(one.part());
                    }
                }
            }
            for (long from = calm; from + CALM_MILLIS <= end; from += 500) {
                broken |= window(from);
            }
        }
        site.note("later than 3 s after the last reset: " + queries + " queries, " + nothing + " got nothing, parts " + parts);
        if (queries == 0) {
            return 2;
        }
        return broken ? 1 : 0;
    }

    private boolean window(long from) {
        long until = from + CALM_MILLIS;
        int queries = 0;
        int nothing = 0;
        for (Asked one : asked) {
            if (one.kind().equals(QUERY) && one.atMillis() >= from && one.atMillis() < until) {
                queries++;
                nothing += one.served() ? 0 : 1;
            }
        }
        long begun;
        synchronized (reviewsBegun) {
            begun = reviewsBegun.stream().filter(at -> at >= from && at < until).count();
        }
        boolean broken = nothing >= FEWEST && nothing * LEAST_SHARE > queries && begun > 0;
        if (broken) {
            site.note("RULE BROKEN: TIER, from " + from + " ms on, 5 s: of " + queries + " queries (priority 1, 2368 tokens) "
                    + nothing + " got nothing, while " + begun + " reviews (priority 2, 9190 tokens) began");
        }
        return broken;
    }
}
