package stand2;

import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** The settings change to a fraction of seconds, and the entry VMs are then started again in turn. */
final class FractionalGrace {

    private static final String GRACE_SECONDS = "8.5";

    private static final String GRACE_SECONDS_WITHOUT = "9";

    private static final int TIMEOUT_MILLIS = 600;

    private static final int STARTS = 3;

    private static final long RESTART_MILLIS = 1_000;

    private static final long READY_MILLIS = 10_000;

    private static final int REQUESTS = 20;

    private static int sRequests;

    private FractionalGrace() {}

    public static void main(String[] args) {
        Site2.main(args[0], FractionalGrace::run);
    }

    private static boolean run(Site2 site) throws Exception {
        Store2 store = new Store2();
        Replica2 replica = new Replica2(site, "i-1", 800, 20);
        store.put("op/config", new Config2().route("stamp", "/stamp/", "unsafe", TIMEOUT_MILLIS)
                .tenant("mill", "key-of-mill").json(1));
        store.put("servers/i-1", replica.entry("bale-ledger", "fl-a"));
        List<Site2.Vm> vms = List.of(site.vm("front-fl-a-1"), site.vm("front-fl-b-1"));
        for (Site2.Vm vm : vms) {
            site.start(vm, "fl-a", store.port, vms);
        }
        for (Site2.Vm vm : vms) {
            site.awaitReady(vm, 20_000);
        }
        Thread.sleep(3_500);
        int before = send(site, vms);
        site.mGraceSeconds = Site2.trouble() ? GRACE_SECONDS : GRACE_SECONDS_WITHOUT;
        for (Site2.Vm vm : vms) {
            site.writeSettings(vm, "fl-a", store.port, vms);
            site.signal(vm, "HUP");
        }
        site.record("the settings change: grace_s is %s", site.mGraceSeconds);
        Thread.sleep(3_000);
        int machines = 0;
        for (Site2.Vm vm : vms) {
            site.signal(vm, "TERM");
            vm.process.waitFor();
            site.record("%s has stopped as planned", vm.name);
            machines += endsByItself(site, vm, store.port, vms) == STARTS ? 1 : 0;
        }
        int after = send(site, vms);
        site.record("answered 200 before: %d of %d, after: %d of %d", before, REQUESTS, after, REQUESTS);
        site.record("machines whose process ended by itself %d times: %d of %d", STARTS, machines, vms.size());
        return machines < vms.size();
    }

    /** Starts a process as the platform does, again if it ends; returns how often it ended by itself. */
    private static int endsByItself(Site2 site, Site2.Vm vm, int store, List<Site2.Vm> seeds) throws Exception {
        for (int ends = 0; ends < STARTS; ends++) {
            Thread.sleep(RESTART_MILLIS);
            site.start(vm, "fl-a", store, seeds);
            long end = Site2.millis() + READY_MILLIS;
            while (Site2.millis() < end && vm.process.isAlive() && !Site2.isReady(vm)) {
                Thread.sleep(50);
            }
            if (vm.process.isAlive()) {
                site.record("%s is ready: %s", vm.name, Site2.isReady(vm));
                return ends;
            }
            String log = site.log(vm).strip();
            site.record("%s ends by itself with code %d: %s", vm.name, vm.process.waitFor(),
                    log.substring(log.lastIndexOf('/') + 1));
        }
        return STARTS;
    }

    private static int send(Site2 site, List<Site2.Vm> vms) throws InterruptedException {
        int served = 0;
        for (int i = 0; i < REQUESTS; i++) {
            Site2.Vm vm = vms.get(i % vms.size());
            String id = "rq" + ++sRequests;
            try (Socket socket = new Socket()) {
                site.record("%s is sent to %s", id, vm.name);
                socket.connect(new InetSocketAddress(Site2.HOST, vm.callers), 1000);
                socket.setSoTimeout(3000);
                socket.getOutputStream().write(Site2.ascii("POST /stamp/x HTTP/1.1\r\nHost: " + Config2.HOST_NAME
                        + "\r\nX-Request-Id: " + id + "\r\nX-Deadline-Ms: " + TIMEOUT_MILLIS
                        + "\r\nContent-Length: 0\r\nAuthorization: Bearer key-of-mill\r\n\r\n"));
                InputStream in = socket.getInputStream();
                String head = Site2.Http.head(in);
                Site2.Http.body(in, head);
                int status = Site2.Http.status(head);
                served += status == 200 ? 1 : 0;
                site.record("%s is answered %d", id, status);
            } catch (Exception e) {
                site.record("%s: %s", id, e.getClass().getSimpleName());
            }
            TimeUnit.MILLISECONDS.sleep(50);
        }
        return served;
    }
}
