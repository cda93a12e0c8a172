package stand2;

import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/** A replica leaves that never reports draining, while the store cuts watches that wait. */
final class WatchCut {

    private static final long CUT_MILLIS = 1_000;

    private static final long DRAIN_MILLIS = 2_000;

    /** The replica serves for the drain time and some seconds more, and then exits. */
    private static final long SERVES_ON_MILLIS = 5_000;

    private static final long AFTER_EXIT_MILLIS = 2_000;

    private static final int CALLERS = 6;

    private static final long PAUSE_MILLIS = 50;

    private static final long WORK_MILLIS = 200;

    private static final int TIMEOUT_MILLIS = 600;

    private static final AtomicInteger REQUESTS = new AtomicInteger();

    private static final AtomicInteger UNCERTAIN = new AtomicInteger();

    private static volatile boolean sEnded;

    private WatchCut() {}

    public static void main(String[] args) {
        Site2.main(args[0], WatchCut::run);
    }

    private static boolean run(Site2 site) throws Exception {
        Store2 store = new Store2();
        Replica2 stays = new Replica2(site, "i-1", 800, WORK_MILLIS);
        Replica2 leaves = new Replica2(site, "i-2", 800, WORK_MILLIS);
        store.put("op/config", new Config2().route("stamp", "/stamp/", "unsafe", TIMEOUT_MILLIS)
                .tenant("mill", "key-of-mill").json(1));
        store.put("servers/i-1", stays.entry("bale-ledger", "fl-a"));
        store.put("servers/i-2", leaves.entry("bale-ledger", "fl-a"));
        Site2.Vm vm = site.vm("front-fl-a-1");
        site.start(vm, "fl-a", store.port, List.of(vm));
        site.awaitReady(vm, 20_000);
        Thread.sleep(4_000);
        if (Site2.trouble()) {
            store.cutWatchesAfter(CUT_MILLIS);
            site.record("the store cuts each watch that has waited for %d ms", CUT_MILLIS);
        }
        List<Thread> callers = new ArrayList<>();
        for (int i = 0; i < CALLERS; i++) {
            Thread caller = new Thread(() -> call(site, vm));
            callers.add(caller);
            caller.start();
        }
        Thread.sleep(4_000);
        int first = leaves.runs.get();
        store.delete("servers/i-2");
        long removed = Site2.millis();
        site.record("the entry of i-2 is removed and the removal is acknowledged");
        sleepUntil(removed + DRAIN_MILLIS);
        int before = leaves.runs.get();
        site.record("drain_ms has passed");
        sleepUntil(removed + SERVES_ON_MILLIS);
        int late = leaves.runs.get() - before;
        leaves.exit();
        sleepUntil(removed + SERVES_ON_MILLIS + AFTER_EXIT_MILLIS);
        sEnded = true;
        for (Thread caller : callers) {
            caller.join(5_000);
        }
        site.record("i-2 ran %d requests before its entry was removed, %d in drain_ms, %d later; stamps answered 5xx: %d",
                first, before - first, late, UNCERTAIN.get());
        return late == 0;
    }

    private static void sleepUntil(long millis) throws InterruptedException {
        Thread.sleep(Math.max(0, millis - Site2.millis()));
    }

    private static void call(Site2 site, Site2.Vm vm) {
        while (!sEnded) {
            String id = "rq" + REQUESTS.incrementAndGet();
            try (Socket socket = new Socket()) {
                socket.connect(new InetSocketAddress(Site2.HOST, vm.callers), 1000);
                socket.setSoTimeout(3000);
                site.record("%s is sent", id);
                socket.getOutputStream().write(Site2.ascii("POST /stamp/x HTTP/1.1\r\nHost: " + Config2.HOST_NAME
                        + "\r\nX-Request-Id: " + id + "\r\nX-Deadline-Ms: " + TIMEOUT_MILLIS
                        + "\r\nContent-Length: 0\r\nAuthorization: Bearer key-of-mill\r\n\r\n"));
                InputStream in = socket.getInputStream();
                String head = Site2.Http.head(in);
                Site2.Http.body(in, head);
                int status = Site2.Http.status(head);
                UNCERTAIN.addAndGet(status >= 500 && status != 503 ? 1 : 0);
                site.record("%s is answered %d", id, status);
                Thread.sleep(PAUSE_MILLIS);
            } catch (Exception e) {
                site.record("%s: %s", id, e);
            }
        }
    }
}
