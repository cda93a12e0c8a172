package stand2;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/** Some callers at once send bodies of the published max_body_bytes to entry VMs with memory_mb = 280. */
final class LargeBodies {

    private static final int BODY_BYTES = 4_194_304;

    /** The largest body that the site's own callers send. */
    private static final int USUAL_BODY_BYTES = 110_000;

    /** The callers of each entry VM that send bodies, with the disruption and without. */
    private static final int LARGE_CALLERS = 14;

    private static final int LARGE_CALLERS_WITHOUT_BURST = 1;

    /** Keeps the bodies of one machine within its link of 1,000 Mbit/s. */
    private static final long LARGE_PAUSE_MILLIS = 400;

    private static final int SMALL_CALLERS = 6;

    /** The memory of the smallest machine of the site, 280 MB. */
    private static final long MEMORY_KIB = 280_000_000 / 1024;

    private static final int TIMEOUT_MILLIS = 5_000;

    private static final long RESTART_MILLIS = 1_000;

    private static final long STABLE_WINDOW_MILLIS = 3_000;

    private static final long LIMIT_MILLIS = 45_000;

    private static final int MAX_LOST = 3;

    private static final int MAX_ENDS = 2;

    private static final Map<String, Integer> COUNTS = new ConcurrentHashMap<>();

    private static final AtomicInteger LOST = new AtomicInteger();

    private static volatile boolean sEnded;

    private static Replica2[] sReplicas;

    private LargeBodies() {}

    /** An entry VM as the platform keeps it: it ends a process over its memory and starts it again. */
    private static final class Kept {
        final Site2 site;
        final Site2.Vm vm;
        final int store;
        final List<Site2.Vm> seeds;
        final String zone;
        volatile long readyMillis = Long.MAX_VALUE;
        volatile int ends;

        Kept(Site2 site, Site2.Vm vm, String zone, int store, List<Site2.Vm> seeds) {
            this.site = site;
            this.vm = vm;
            this.zone = zone;
            this.store = store;
            this.seeds = seeds;
        }

        /** Starts the process with the memory and the one core that the machine states. */
        void start() throws Exception {
            site.start(vm, zone, store, seeds, "-XX:MaxRAM=280m", "-XX:ActiveProcessorCount=1");
            site.awaitReady(vm, 20_000);
            readyMillis = Site2.millis();
        }

        void keep() {
            try {
                long most = 0;
                while (!sEnded) {
                    long memory = vm.process.isAlive() ? Site2.memoryKib(vm, "RssAnon") : 0;
                    most = Math.max(most, memory);
                    if (memory > MEMORY_KIB || !vm.process.isAlive()) {
                        readyMillis = Long.MAX_VALUE;
                        ends++;
                        site.record("%s has %d KiB of memory of its own, over memory_mb = 280: the platform ends it",
                                vm.name, memory);
                        vm.process.destroyForcibly().waitFor();
                        Thread.sleep(RESTART_MILLIS);
                        start();
                    }
                    Thread.sleep(20);
                }
                site.record("%s: most memory %d KiB, ended %d times", vm.name, most, ends);
            } catch (Exception e) {
                site.record("%s: %s", vm.name, e);
            }
        }

        boolean inTouch() {
            return readyMillis != Long.MAX_VALUE && Site2.millis() - readyMillis >= STABLE_WINDOW_MILLIS;
        }
    }

    public static void main(String[] args) {
        Site2.main(args[0], LargeBodies::run);
    }

    private static boolean run(Site2 site) throws Exception {
        Store2 store = new Store2();
        sReplicas = new Replica2[] {new Replica2(site, "i-1", 800, 20), new Replica2(site, "i-2", 800, 20),
            new Replica2(site, "i-3", 800, 20)};
        store.put("op/config", new Config2().route("stamp", "/stamp/", "unsafe", TIMEOUT_MILLIS)
                .route("lookup", "/lookup/", "safe", TIMEOUT_MILLIS).tenant("mill", "key-of-mill").json(1));
        for (Replica2 replica : sReplicas) {
            store.put("servers/" + replica.id, replica.entry("bale-ledger", "fl-a"));
        }
        List<Site2.Vm> vms = List.of(site.vm("front-fl-a-1"), site.vm("front-fl-b-1"));
        List<Kept> all = new ArrayList<>();
        for (Site2.Vm vm : vms) {
            Kept kept = new Kept(site, vm, vm == vms.get(0) ? "fl-a" : "fl-b", store.port, vms);
            kept.start();
            all.add(kept);
        }
        List<Thread> threads = new ArrayList<>();
        for (Kept kept : all) {
            threads.add(new Thread(kept::keep));
            for (int i = 0; i < SMALL_CALLERS; i++) {
                String name = "small-" + kept.vm.name + "-" + i;
                threads.add(new Thread(() -> small(kept, name)));
            }
            int large = Site2.trouble() ? LARGE_CALLERS : LARGE_CALLERS_WITHOUT_BURST;
            for (int i = 0; i < large; i++) {
                String name = "large-" + kept.vm.name + "-" + i;
                threads.add(new Thread(() -> large(kept, name)));
            }
        }
        threads.forEach(Thread::start);
        while (Site2.millis() < LIMIT_MILLIS && all.stream().anyMatch(kept -> kept.ends <= MAX_ENDS)) {
            Thread.sleep(100);
        }
        sEnded = true;
        for (Thread thread : threads) {
            thread.join(10_000);
        }
        site.record("answers %s", COUNTS);
        site.record("passed on to a replica from a kept connection, and the connection closed without an answer: %d",
                LOST.get());
        boolean fault = all.stream().allMatch(kept -> kept.ends > MAX_ENDS);
        site.record("processes of both machines ended three times for their memory: %s", fault);
        return !fault && LOST.get() <= MAX_LOST;
    }

    private static void large(Kept kept, String name) {
        for (int i = 1; !sEnded; i++) {
            pause(LARGE_PAUSE_MILLIS);
            if (kept.inTouch()) {
                try (Socket socket = connect(kept)) {
                    call(kept, socket, name + "-" + i, "POST /stamp/x", Site2.trouble() ? BODY_BYTES : USUAL_BODY_BYTES);
                } catch (IOException e) {
                    pause(100);
                }
            }
        }
    }

    private static void small(Kept kept, String name) {
        int calls = 0;
        while (!sEnded) {
            pause(100);
            if (kept.inTouch()) {
                try (Socket socket = connect(kept)) {
                    boolean answered = true;
                    for (int i = 0; answered && !sEnded; i++) {
                        String id = name + "-" + ++calls;
                        answered = call(kept, socket, id, "GET /lookup/x", 0);
                        if (!answered && i > 0 && ran(id)) {
                            kept.site.record("%s ran and its kept connection ended without an answer", id);
                            LOST.incrementAndGet();
                        }
                        pause(50);
                    }
                } catch (IOException e) {
                    pause(100);
                }
            }
        }
    }

    private static boolean ran(String id) {
        for (Replica2 replica : sReplicas) {
            if (replica.ran.contains(id)) {
                return true;
            }
        }
        return false;
    }

    private static Socket connect(Kept kept) throws IOException {
        Socket socket = new Socket();
        socket.connect(new InetSocketAddress(Site2.HOST, kept.vm.callers), 1000);
        socket.setSoTimeout(TIMEOUT_MILLIS + 1_000);
        return socket;
    }

    /** Sends a request and reads its answer; false if there is none, or the connection can't be used again. */
    private static boolean call(Kept kept, Socket socket, String id, String line, int size) {
        String kind = size > 0 ? "large " : "small ";
        String outcome;
        boolean again = false;
        kept.site.record("%s is sent to %s: %s, %d bytes", id, kept.vm.name, line, size);
        try {
            socket.getOutputStream().write(Site2.ascii(line + " HTTP/1.1\r\nHost: " + Config2.HOST_NAME
                    + "\r\nX-Request-Id: " + id + "\r\nX-Deadline-Ms: " + TIMEOUT_MILLIS + "\r\nContent-Length: "
                    + size + "\r\nAuthorization: Bearer key-of-mill\r\n\r\n"));
            byte[] part = new byte[64 * 1024];
            for (int sent = 0; sent < size; sent += part.length) {
                socket.getOutputStream().write(part, 0, Math.min(part.length, size - sent));
            }
            InputStream in = socket.getInputStream();
            String head = Site2.Http.head(in);
            again = !head.isEmpty() && Site2.Http.body(in, head) != null
                    && !Site2.Http.field(head, "Connection").equals("close");
            outcome = Integer.toString(Site2.Http.status(head));
        } catch (IOException e) {
            outcome = e.getClass().getSimpleName();
        }
        COUNTS.merge(kind + outcome, 1, Integer::sum);
        kept.site.record("%s is answered %s", id, outcome);
        return again;
    }

    private static void pause(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
