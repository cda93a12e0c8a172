import java.util.LinkedHashMap;
import java.util.Map;

/** Case 11: requests that a client sends on a kept connection before it has the answers to the earlier ones. */
final class Pipelined {
    private static final int ROUNDS = 5;
    private static final int BODY = 18_000;

    private Pipelined() {}

    public static void main(String[] arguments) {
        Site3.run(arguments[0], Pipelined::run);
    }

    private static int run(Site3 site, boolean trouble) throws Exception {
        site.note("TROUBLE=" + (trouble ? "1: the client does not wait for answers" : "0: the client waits for each answer"));
        site.store.put("op/config", new Config3(7).text());
        Site3.Behaviour plain = (replica, request, link) -> {
            Site3.readRequestBody(request, link.in);
            replica.ran(request);
            Site3.pause(20);
            link.send(Site3.ok(replica, request, "found " + request.target()));
            return true;
        };
        Site3.Behaviour stream = (replica, request, link) -> {
            Site3.readRequestBody(request, link.in);
            replica.ran(request);
            link.send(Site3.streamHead(replica, request));
            for (int i = 1; i <= 3; i++) {
                Site3.pause(20);
                link.send(Site3.chunk(Site3.event(i)));
            }
            link.send("0\r\n\r\n");
            return true;
        };
        for (int i = 1; i <= 2; i++) {
            site.replica("i-desk" + i, "desk", "zone-" + i, 6, plain);
            site.replica("i-tutor" + i, "tutor", "zone-" + i, 64, stream);
        }
        for (int i = 1; i <= 2; i++) {
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
        Site3.pause(4000);
        Map<String, String> sent = new LinkedHashMap<>();
        int answered = 0;
        for (int round = 0; round < ROUNDS; round++) {
            answered += round(site, site.entries.get(round % 2), round, trouble, sent);
        }
        Site3.pause(500);
        int changed = 0;
        int runs = 0;
        for (Site3.Replica replica : site.replicas) {
            for (Site3.Run run : replica.runs) {
                runs++;
                String seen = run.request().method() + " " + run.request().target() + "\n" + run.request().text();
                String wanted = sent.get(run.id());
                if (!seen.equals(wanted)) {
                    changed++;
                    site.note("RULE BROKEN: " + replica.id + " ran " + run.id() + " changed: " + difference(wanted, seen));
                }
            }
        }
        site.note("sent " + sent.size() + ", answered whole " + answered + ", runs " + runs + ", runs changed " + changed);
        if (runs == 0) {
            return 2;
        }
        return changed > 0 ? 1 : 0;
    }

    private static int round(Site3 site, Site3.Entry entry, int round, boolean trouble, Map<String, String> sent)
            throws Exception {
        String[] ids = {"look-" + round + "a", "look-" + round + "b", "review-" + round + "a", "review-" + round + "b"};
        StringBuilder all = new StringBuilder();
        int answered = 0;
        try (Site3.Client client = entry.client()) {
            for (int i = 0; i < ids.length; i++) {
                boolean look = i < 2;
                String method = look ? "GET" : "POST";
                String path = (look ? "/look/" : "/review/") + ids[i];
                String body = look ? null : Config3.body(ids[i], BODY);
                String text = Config3.request(method, path, ids[i], look ? 1000 : 5000, body);
                sent.put(ids[i], method + " " + path + "\n" + (body == null ? "" : body));
                if (trouble) {
                    all.append(text);
                } else {
                    client.send(text);
                    answered += receive(site, entry, client, ids[i]) ? 1 : 0;
                }
            }
            if (trouble) {
                client.send(all.toString());
                site.note(entry.name + ": sent at once " + String.join(", ", ids));
                for (String id : ids) {
                    if (!receive(site, entry, client, id)) {
                        break;
                    }
                    answered++;
                }
            }
        }
        return answered;
    }

    private static boolean receive(Site3 site, Site3.Entry entry, Site3.Client client, String id) {
        Site3.Message answer = client.receive(6000);
        boolean whole = answer.complete && answer.status() == 200 && id.equals(answer.field("X-Request-Id"));
        site.note(entry.name + ": " + id + " -> " + answer);
        return whole;
    }

    private static String difference(String wanted, String seen) {
        if (wanted == null) {
            return "no client sent its id";
        }
        int at = 0;
        while (at < Math.min(wanted.length(), seen.length()) && wanted.charAt(at) == seen.charAt(at)) {
            at++;
        }
        String end = seen.substring(Math.max(at, seen.length() - 160)).replace("\r", "\\r").replace("\n", "\\n");
        return "from byte " + at + " on (" + wanted.substring(at, Math.min(wanted.length(), at + 18)) + " became "
                + seen.substring(at, Math.min(seen.length(), at + 18)) + "); it ends with: " + end;
    }
}
