package stand2;

import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.List;

/** An entry VM freezes for 4 s while configurations come in quick succession, and wakes again. */
final class ConfigStorm {

    /** Pads the configuration to about 0.7 of value_bytes. */
    private static final int ROUTES = 4000;

    private static final int VERSIONS = 12;

    private static final long GAP_MILLIS = 330;

    private static final long FREEZE_MILLIS = 4_000;

    private static final long CONFIG_MILLIS = 2_000;

    private static final long STABLE_WINDOW_MILLIS = 3_000;

    private static final long WATCHED_MILLIS = 20_000;

    private static final int TIMEOUT_MILLIS = 1_000;

    private static int sRequests;

    private ConfigStorm() {}

    public static void main(String[] args) {
        Site2.main(args[0], ConfigStorm::run);
    }

    /** The last version takes a key away and adds a route; each version changes the time-outs. */
    private static String config(int version, boolean last) {
        Config2 config = new Config2().route("stamp", "/stamp/", "unsafe", TIMEOUT_MILLIS);
        for (int i = 0; i < ROUTES; i++) {
            config.route("archive-" + i, "/archive/" + i + "/", "safe", TIMEOUT_MILLIS + version);
        }
        config.tenant("mill", "key-of-mill");
        if (last) {
            config.route("added", "/added/", "safe", TIMEOUT_MILLIS);
        } else {
            config.tenant("former", "key-taken-away");
        }
        return config.json(version);
    }

    private static boolean run(Site2 site) throws Exception {
        Store2 store = new Store2();
        Replica2 replica = new Replica2(site, "i-1", 800, 20);
        String first = config(1, false);
        store.put("op/config", first);
        store.put("servers/i-1", replica.entry("bale-ledger", "fl-a"));
        site.record("a configuration has %d bytes, value_bytes is 1048576", first.length());
        Site2.Vm frozen = site.vm("front-fl-a-1");
        Site2.Vm other = site.vm("front-fl-b-1");
        site.start(frozen, "fl-a", store.port, List.of(frozen, other));
        site.start(other, "fl-b", store.port, List.of(frozen, other));
        site.awaitReady(frozen, 30_000);
        site.awaitReady(other, 30_000);
        Thread.sleep(4_000);
        call(site, frozen, "/stamp/x", "key-taken-away");
        call(site, other, "/stamp/x", "key-taken-away");
        if (Site2.trouble()) {
            site.signal(frozen, "STOP");
        }
        long begin = Site2.millis();
        long acknowledged = 0;
        for (int i = 0; i < VERSIONS; i++) {
            store.put("op/config", config(2 + i, i == VERSIONS - 1));
            acknowledged = Site2.millis();
            site.record("version %d acknowledged", 2 + i);
            Thread.sleep(Math.max(0, begin + (i + 1) * GAP_MILLIS - Site2.millis()));
        }
        Thread.sleep(Math.max(0, begin + FREEZE_MILLIS - Site2.millis()));
        if (Site2.trouble()) {
            site.signal(frozen, "CONT");
        }
        long judged = Math.max(acknowledged + CONFIG_MILLIS, Site2.millis() + STABLE_WINDOW_MILLIS) + 200;
        site.record("requests are judged from %d ms on", judged);
        int broken = 0;
        int brokenOther = 0;
        while (Site2.millis() < judged + WATCHED_MILLIS) {
            boolean counts = Site2.millis() >= judged;
            int taken = call(site, frozen, "/stamp/x", "key-taken-away");
            int added = call(site, frozen, "/added/x", "key-of-mill");
            broken += counts && taken == 200 ? 1 : 0;
            broken += counts && added == 404 ? 1 : 0;
            brokenOther += counts && call(site, other, "/stamp/x", "key-taken-away") == 200 ? 1 : 0;
            Thread.sleep(400);
        }
        site.record("handled as only an older version allows: %d requests at the VM that froze, %d at the other",
                broken, brokenOther);
        return broken + brokenOther == 0;
    }

    private static int call(Site2 site, Site2.Vm vm, String path, String key) {
        String id = "rq" + ++sRequests;
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress(Site2.HOST, vm.callers), 1000);
            socket.setSoTimeout(3000);
            String method = path.startsWith("/stamp") ? "POST" : "GET";
            site.record("%s is sent to %s: %s %s with %s", id, vm.name, method, path, key);
            socket.getOutputStream().write(Site2.ascii(method + " " + path + " HTTP/1.1\r\nHost: " + Config2.HOST_NAME
                    + "\r\nX-Request-Id: " + id + "\r\nX-Deadline-Ms: " + TIMEOUT_MILLIS
                    + "\r\nContent-Length: 0\r\nAuthorization: Bearer " + key + "\r\n\r\n"));
            InputStream in = socket.getInputStream();
            int status = Site2.Http.status(Site2.Http.head(in));
            site.record("%s to %s: %s with %s is answered %d", id, vm.name, path, key, status);
            return status;
        } catch (Exception e) {
            site.record("%s to %s: %s", id, vm.name, e);
            return 0;
        }
    }
}
