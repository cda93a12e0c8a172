package org.magnoliaseam.testbed.proof;

import static org.assertj.core.api.Assertions.assertThat;
import static org.awaitility.Awaitility.await;

import java.io.IOException;
import java.net.Socket;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.magnoliaseam.testbed.harness.Signal;
import org.magnoliaseam.testbed.raw.RawMessage;
import org.magnoliaseam.testbed.raw.RawServer;

/** Tests that a request is answered if its route is removed after its head was read. */
class RouteChangeIT {

    private static final String KEPT = RawSite.route("sound", "/kept/", "safe", 8000, 2);

    private static final String REMOVED = RawSite.route("sound", "/removed/", "safe", 8000, 2);

    private static final String WAITING = RawSite.route("faulty", "/waiting/", "safe", 8000, 2);

    private static final long CHANGE_MILLIS = 1500;

    /** The time after which the head of a request has been read. */
    private static final long HEAD_MILLIS = 500;

    private static final long WORK_MILLIS = 3000;

    @TempDir Path mFolder;

    private RawSite mSite;

    private RawServer mServer;

    @BeforeEach
    void start() throws Exception {
        mServer = new RawServer();
        mSite = new RawSite(mFolder, "-Xmx192m");
        mSite.configure(KEPT, REMOVED, WAITING);
        mSite.server("i-1", "sound", mServer);
        mSite.start();
        mSite.call("POST", "/removed/x", "r0", "ab");
    }

    @AfterEach
    void stop() throws Exception {
        mSite.close();
        mServer.close();
    }

    /** Removes the route and signals the process to read its settings again. */
    private void change() throws Exception {
        TimeUnit.MILLISECONDS.sleep(HEAD_MILLIS);
        mSite.configure(KEPT);
        mSite.router().send(Signal.HUP);
        TimeUnit.MILLISECONDS.sleep(CHANGE_MILLIS);
        assertThat(mSite.call("POST", "/removed/x", "gone", "ab").status()).isEqualTo(404);
    }

    @Test
    void requestWhoseBodyArrivesMeanwhileIsAnswered() throws Exception {
        try (Socket socket = mSite.connect()) {
            RawSite.write(socket, RawSite.head("POST", "/removed/x", "r1", 2) + "a");
            change();
            RawSite.write(socket, "b");
            assertThat(RawSite.read(socket).status()).isEqualTo(200);
        }
    }

    @Test
    void requestInProgressIsAnswered() throws Exception {
        mServer.answers(RouteChangeIT::answerLate);
        try (Socket socket = mSite.connect()) {
            RawSite.write(socket, RawSite.head("POST", "/removed/x", "r1", 2) + "ab");
            await().until(() -> mServer.requests().size() == 2);
            change();
            assertThat(RawSite.read(socket).status()).isEqualTo(200);
        }
    }

    /** The route is removed while no server serves it; one comes afterwards. */
    @Test
    void requestThatWaitsForAServerIsAnsweredOrRefused() throws Exception {
        try (Socket socket = mSite.connect()) {
            RawSite.write(socket, RawSite.head("POST", "/waiting/x", "r1", 2) + "ab");
            change();
            mSite.server("i-2", "faulty", mServer);
            assertThat(RawSite.read(socket).status()).isIn(200, 503);
        }
    }

    private static void answerLate(RawMessage request, Socket socket) throws IOException {
        try {
            TimeUnit.MILLISECONDS.sleep(WORK_MILLIS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        RawServer.write(socket, RawServer.sound(request));
    }
}
