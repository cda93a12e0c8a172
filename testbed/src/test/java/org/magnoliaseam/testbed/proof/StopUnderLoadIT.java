package org.magnoliaseam.testbed.proof;

import static org.assertj.core.api.Assertions.assertThat;
import static org.awaitility.Awaitility.await;

import java.io.IOException;
import java.io.InputStream;
import java.net.ConnectException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.magnoliaseam.testbed.harness.Signal;
import org.magnoliaseam.testbed.raw.RawMessage;
import org.magnoliaseam.testbed.raw.RawServer;

/** Tests a planned stop of a router whose callers use it until its process is gone. */
class StopUnderLoadIT {

    private static final int CALLERS = 24;

    /** The longest time that a request may wait without an answer, as the users' pages state. */
    private static final long LOSS_SLACK_MILLIS = 200;

    private static final long WORK_MILLIS = 150;

    private static final long PAUSE_MILLIS = 50;

    private static final Duration STOP_GRACE = Duration.ofSeconds(5);

    private static final int LARGE_ANSWER_BYTES = 6_000_000;

    private static final int READ_BYTES_PER_SECOND = 800_000;

    private static final int RECEIVE_BUFFER_BYTES = 64 * 1024;

    private static final String OPTIONS = "-Xmx128m -XX:+UseSerialGC -XX:TieredStopAtLevel=1";

    private final ExecutorService mCallers = Executors.newCachedThreadPool();

    private final List<String> mFaults = new CopyOnWriteArrayList<>();

    @TempDir private Path mFolder;

    private RawSite mSite;

    private RawServer mServer;

    @BeforeEach
    void start() throws Exception {
        mServer = new RawServer();
        mSite = new RawSite(mFolder, OPTIONS);
        mSite.server("i-sound", "sound", mServer);
        mSite.configure(
                RawSite.route("sound", "/pay/", "unsafe", 2000, 1),
                RawSite.route("sound", "/long/", "unsafe", 60_000, 1));
        mSite.start();
    }

    @AfterEach
    void stop() throws Exception {
        mCallers.shutdownNow();
        mSite.close();
        mServer.close();
    }

    private void work(long millis) {
        mServer.answers(
                (request, socket) -> {
                    pause(millis);
                    RawServer.write(socket, RawServer.sound(request));
                });
    }

    private static void pause(long millis) {
        try {
            TimeUnit.MILLISECONDS.sleep(millis);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Sends payments until the process is gone; notes those that waited and got no answer. */
    private int sendUntilGone(int caller) {
        int sent = 0;
        while (!Thread.currentThread().isInterrupted()) {
            try (Socket socket = mSite.connect()) {
                boolean open = true;
                while (open) {
                    open = send(socket, "c" + caller + "-" + ++sent);
                }
            } catch (ConnectException e) {
                return sent;
            } catch (IOException e) {
                pause(1);
            }
        }
        return sent;
    }

    /** Sends a payment and tells whether its connection may be used again. */
    private boolean send(Socket socket, String id) throws IOException {
        long begin = System.nanoTime();
        RawSite.write(socket, RawSite.head("POST", "/pay/a", id, 0));
        try {
            RawMessage answer = RawSite.read(socket);
            if (answer.status() != 200) {
                pause(PAUSE_MILLIS);
            }
            return answer.value("Connection").filter("close"::equals).isEmpty();
        } catch (IOException e) {
            long millis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - begin);
            boolean passedOn =
                    mServer.requests().stream()
                            .anyMatch(request -> request.value("X-Request-Id").get().equals(id));
            if (passedOn || millis > LOSS_SLACK_MILLIS) {
                mFaults.add(id + " had no answer after " + millis + " ms, passed on: " + passedOn);
            }
            throw e;
        }
    }

    /** Guards against requests that a stopping process reads and never answers. */
    @Test
    void callersAreAnsweredOrRefusedUntilTheProcessIsGone() throws Exception {
        work(WORK_MILLIS);
        List<Future<Integer>> callers = new ArrayList<>();
        for (int i = 0; i < CALLERS; i++) {
            int caller = i;
            callers.add(mCallers.submit(() -> sendUntilGone(caller)));
        }
        pause(2000);
        mSite.router().send(Signal.TERM);
        pause(500);
        mSite.router().send(Signal.HUP);
        mSite.router().send(Signal.TERM);
        for (Future<Integer> caller : callers) {
            assertThat(caller.get(STOP_GRACE.toSeconds() + 5, TimeUnit.SECONDS)).isPositive();
        }
        assertThat(mSite.router().awaitExit(STOP_GRACE)).isZero();
        assertThat(mFaults).isEmpty();
    }

    /** Guards against a request that is passed on after the process stopped taking requests. */
    @Test
    void requestWhoseBodyArrivesLateIsRefusedAndNotPassedOn() throws Exception {
        try (Socket socket = mSite.connect()) {
            RawSite.write(socket, RawSite.head("POST", "/pay/a", "late", 10) + "half ");
            pause(200);
            mSite.router().send(Signal.TERM);
            pause(2600);
            RawSite.write(socket, "done.");
            assertThat(RawSite.read(socket).status()).isEqualTo(503);
        }
        assertThat(mServer.requests()).isEmpty();
    }

    /** Guards against requests that end without an answer when the grace period is over. */
    @Test
    void requestInProgressAtTheEndGetsAFinalAnswer() throws Exception {
        work(60_000);
        Future<RawMessage> answer =
                mCallers.submit(() -> mSite.call("POST", "/long/a", "in-progress", ""));
        await().atMost(STOP_GRACE).until(() -> !mServer.requests().isEmpty());
        mSite.router().send(Signal.TERM);
        assertThat(answer.get(8, TimeUnit.SECONDS).status()).isIn(502, 504);
        assertThat(mSite.router().awaitExit(STOP_GRACE)).isZero();
    }

    /** Guards against answers that a stop cuts off while their callers still read them. */
    @Test
    void answerThatIsStillReadIsWritten() throws Exception {
        byte[] body = new byte[LARGE_ANSWER_BYTES];
        mServer.answers(
                (request, socket) -> {
                    String head =
                            new String(RawServer.sound(request), StandardCharsets.ISO_8859_1)
                                    .replace("Length: 0", "Length: " + body.length);
                    RawServer.write(socket, head.getBytes(StandardCharsets.ISO_8859_1));
                    RawServer.write(socket, body);
                });
        try (Socket socket = mSite.connect()) {
            socket.setReceiveBufferSize(RECEIVE_BUFFER_BYTES);
            RawSite.write(socket, RawSite.head("POST", "/long/a", "large", 0));
            await().atMost(STOP_GRACE).until(() -> !mServer.requests().isEmpty());
            pause(300);
            mSite.router().send(Signal.TERM);
            assertThat(readSlowly(socket.getInputStream())).isGreaterThan(body.length);
        }
        assertThat(mSite.router().awaitExit(STOP_GRACE)).isZero();
    }

    /** Reads an answer to its end at a steady rate and returns its bytes with the head. */
    private static int readSlowly(InputStream input) throws IOException {
        long begin = System.nanoTime();
        byte[] buffer = new byte[RECEIVE_BUFFER_BYTES];
        int read = 0;
        int count = 0;
        while (count >= 0 && read < LARGE_ANSWER_BYTES + 1) {
            count = input.read(buffer);
            read += Math.max(0, count);
            long due = read * 1000L / READ_BYTES_PER_SECOND;
            pause(Math.max(0, due - TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - begin)));
        }
        return read;
    }

    /** Guards against payments that the end of the grace period cuts off. */
    @Test
    void paymentThatMayOutlastTheGraceIsRefusedDuringAStop() throws Exception {
        mSite.router().send(Signal.TERM);
        pause(300);
        RawMessage answer = mSite.call("POST", "/long/a", "long", "");
        assertThat(answer.status()).isEqualTo(503);
        assertThat(mServer.requests()).isEmpty();
        assertThat(mSite.call("POST", "/pay/a", "short", "").status()).isEqualTo(200);
    }
}
