package org.magnoliaseam.testbed.proof;

import static org.awaitility.Awaitility.await;

import java.io.IOException;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.magnoliaseam.testbed.raw.RawServer;

/** Tests callers that leave while their requests are in progress. */
class CallerLeavesIT {

    private static final int CALLERS = 100;

    /** The descriptors that other work of the process may need meanwhile. */
    private static final int SLACK = 10;

    private static final Duration TIMEOUT = Duration.ofSeconds(10);

    private static final long WORK_MILLIS = 2000;

    @TempDir private Path mFolder;

    private RawSite mSite;

    private RawServer mServer;

    @BeforeEach
    void start() throws Exception {
        mServer = new RawServer();
        mSite = new RawSite(mFolder, "-Xmx128m -XX:+UseSerialGC -XX:TieredStopAtLevel=1");
        mSite.server("i-sound", "sound", mServer);
        mSite.configure(RawSite.route("sound", "/pay/", "unsafe", 5000, 1));
        mSite.start();
    }

    @AfterEach
    void stop() throws Exception {
        mSite.close();
        mServer.close();
    }

    private long descriptors() throws IOException {
        Path folder = Path.of("/proc/" + mSite.router().pid() + "/fd");
        try (Stream<Path> descriptors = Files.list(folder)) {
            return descriptors.count();
        }
    }

    /** Guards against one descriptor that each such caller leaves behind for good. */
    @Test
    void noDescriptorStaysBehind() throws Exception {
        mSite.call("POST", "/pay/a", "first", "");
        mServer.answers(
                (request, socket) -> {
                    try {
                        TimeUnit.MILLISECONDS.sleep(WORK_MILLIS);
                    } catch (InterruptedException e) {
                        Thread.currentThread().interrupt();
                    }
                });
        long before = descriptors();
        List<Socket> sockets = new ArrayList<>();
        for (int i = 0; i < CALLERS; i++) {
            Socket socket = mSite.connect();
            sockets.add(socket);
            RawSite.write(socket, RawSite.head("POST", "/pay/a", "leaves-" + i, 0));
        }
        await().atMost(TIMEOUT).until(() -> descriptors() > before + CALLERS / 2);
        for (Socket socket : sockets) {
            socket.close();
        }
        await().atMost(TIMEOUT).until(() -> descriptors() <= before + SLACK);
    }
}
