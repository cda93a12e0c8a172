package stand2;

import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;

/** A rolling restart while callers are still reading answers that the replica has long completed. */
final class SlowReader {

    private static final int ANSWER_BYTES = 8_000_000;

    private static final int BYTES_PER_SECOND = 1_050_000;

    private static final int RECEIVE_BUFFER_BYTES = 64 * 1024;

    private static final int CALLERS = 3;

    private static final int DEADLINE_MILLIS = 15_000;

    private static final int TIMEOUT_MILLIS = 15_000;

    private static volatile long sStopMillis = -1;

    private SlowReader() {}

    public static void main(String[] args) {
        Site2.main(args[0], SlowReader::run);
    }

    private static boolean run(Site2 site) throws Exception {
        Store2 store = new Store2();
        Replica2 replica = new Replica2(site, "i-1", ANSWER_BYTES, 20);
        store.put("op/config", new Config2().route("lookup", "/lookup/", "safe", TIMEOUT_MILLIS)
                .tenant("mill", "key-of-mill").json(1));
        store.put("servers/i-1", replica.entry("bale-ledger", "fl-a"));
        Site2.Vm vm = site.vm("front-fl-a-1");
        site.start(vm, "fl-a", store.port, List.of(vm));
        site.awaitReady(vm, 20_000);
        Thread.sleep(3_500);
        List<Caller> callers = new ArrayList<>();
        for (int i = 1; i <= CALLERS; i++) {
            Caller caller = new Caller(site, vm, "rq" + i);
            callers.add(caller);
            caller.start();
            Thread.sleep(100);
        }
        Thread.sleep(300);
        if (Site2.trouble()) {
            sStopMillis = Site2.millis();
            site.signal(vm, "TERM");
            new Thread(() -> {
                try {
                    vm.process.waitFor();
                    site.record("%s has ended by itself %d ms after SIGTERM, grace_s allows 8000 ms", vm.name,
                            Site2.millis() - sStopMillis);
                } catch (InterruptedException e) {
                    Thread.currentThread().interrupt();
                }
            }).start();
        }
        int cut = 0;
        for (Caller caller : callers) {
            caller.join(DEADLINE_MILLIS + 5_000);
            cut += caller.mCut ? 1 : 0;
        }
        site.record("callers with a cut answer: %d of %d", cut, CALLERS);
        return cut == 0;
    }

    /** A caller on a thin link: it reads without a pause, at a steady rate. */
    private static final class Caller extends Thread {
        private final Site2 mSite;
        private final Site2.Vm mVm;
        private final String mId;
        private volatile boolean mCut;

        Caller(Site2 site, Site2.Vm vm, String id) {
            mSite = site;
            mVm = vm;
            mId = id;
            setDaemon(true);
        }

        @Override
        public void run() {
            int read = 0;
            long begin = Site2.millis();
            try (Socket socket = new Socket()) {
                socket.setReceiveBufferSize(RECEIVE_BUFFER_BYTES);
                socket.setSoTimeout(DEADLINE_MILLIS);
                socket.connect(new InetSocketAddress(Site2.HOST, mVm.callers), 1000);
                begin = Site2.millis();
                socket.getOutputStream().write(Site2.ascii("GET /lookup/lots HTTP/1.1\r\nHost: " + Config2.HOST_NAME
                        + "\r\nX-Request-Id: " + mId + "\r\nX-Deadline-Ms: " + DEADLINE_MILLIS
                        + "\r\nAuthorization: Bearer key-of-mill\r\n\r\n"));
                mSite.record("caller sends %s", mId);
                InputStream in = socket.getInputStream();
                String head = Site2.Http.head(in);
                int length = Integer.parseInt("0" + Site2.Http.field(head, "Content-Length"));
                mSite.record("caller of %s gets status %d, signature %s, length %d after %d ms", mId,
                        Site2.Http.status(head), Site2.Http.field(head, "X-Response-Signature"), length,
                        Site2.millis() - begin);
                byte[] expected = Replica2.answer(mId, ANSWER_BYTES);
                byte[] buffer = new byte[16 * 1024];
                boolean same = true;
                while (read < length) {
                    int count = in.read(buffer, 0, Math.min(buffer.length, length - read));
                    if (count < 0) {
                        break;
                    }
                    for (int i = 0; i < count; i++) {
                        same &= buffer[i] == expected[read + i];
                    }
                    read += count;
                    long due = begin + read * 1000L / BYTES_PER_SECOND;
                    Thread.sleep(Math.max(0, due - Site2.millis()));
                }
                mCut = Site2.Http.status(head) == 200 && (read < length || !same);
            } catch (Exception e) {
                mSite.record("caller of %s: %s", mId, e);
                mCut = read > 0;
            }
            mSite.record("caller of %s has read %d of %d bytes after %d ms%s", mId, read, ANSWER_BYTES,
                    Site2.millis() - begin, mCut ? ": CUT" : ": whole");
        }
    }
}
