package org.magnoliaseam.testbed.proof;

import static org.assertj.core.api.Assertions.assertThat;
import static org.awaitility.Awaitility.await;

import java.io.IOException;
import java.net.Socket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.magnoliaseam.testbed.harness.ManagedProcess;
import org.magnoliaseam.testbed.harness.Ports;
import org.magnoliaseam.testbed.harness.Signal;
import org.magnoliaseam.testbed.http.ListenAddress;
import org.magnoliaseam.testbed.store.ServerStandIn;
import org.magnoliaseam.testbed.store.StoreStandIn;

/** Tests the deployment with a metadata store: one router process between stand-ins. */
class StoreDeploymentIT {

    private static final Duration TIMEOUT = Duration.ofSeconds(15);

    private static final Duration POLL = Duration.ofMillis(10);

    private static final String CONFIGURATION =
            """
            {"version":%d,"routes":[\
            {"name":"lookup","host":"127.0.0.1","prefix":"/lookup/","kind":"safe",\
            "timeout_ms":3000,"target_latency_ms":300,"service":"desk","max_attempts":2},\
            {"name":"pay","host":"127.0.0.1","prefix":"/pay/","kind":"unsafe",\
            "timeout_ms":3000,"target_latency_ms":300,"service":"desk","max_attempts":1},\
            {"name":"steps","host":"127.0.0.1","prefix":"/stream/","kind":"stream",\
            "timeout_ms":5000,"target_latency_ms":500,"service":"desk","max_attempts":2,\
            "stream_resumption":true,"gap_target_ms":300}],\
            "services":[{"name":"desk","max_connections":50}],\
            "limits":{"max_body_bytes":100000,"idle_timeout_ms":15000},\
            "tenants":[{"name":"school","api_keys":["key-1"],"priority":1}]}""";

    private final HttpClient mClient =
            HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();

    private final ListenAddress mCallers = Ports.free();

    private final ListenAddress mReadiness = Ports.free();

    private StoreStandIn mStore;

    private ServerStandIn mFirst;

    private ServerStandIn mSecond;

    private ManagedProcess mRouter;

    private int mRequests;

    @TempDir Path mFolder;

    @BeforeEach
    void start() throws Exception {
        mStore = new StoreStandIn(Ports.free());
        mFirst = new ServerStandIn("i-first", Ports.free());
        mSecond = new ServerStandIn("i-second", Ports.free());
        mStore.put("op/config", CONFIGURATION.formatted(5));
        mStore.put("servers/i-first", mFirst.entry("desk", "domain-1", "ready"));
        mStore.put("servers/i-second", mSecond.entry("desk", "domain-2", "ready"));
        mStore.put("servers/i-odd", "{\"service\":7}");
        mStore.put("servers/..", "no entry");
        Path settings = mFolder.resolve("settings.toml");
        Files.writeString(settings, settings(mCallers, mReadiness));
        mRouter = new ManagedProcess("router", mFolder, command(settings));
        await().atMost(TIMEOUT).until(() -> ready(mReadiness) == 200);
        assertThat(mRouter.alive()).as(mRouter.output()).isTrue();
    }

    private static List<String> command(Path settings) {
        return List.of(
                System.getProperty("magnoliaseam.binary"),
                "route",
                "--publisher",
                "store",
                "--settings",
                settings.toString());
    }

    @AfterEach
    void stop() throws Exception {
        if (mRouter.alive()) {
            mRouter.kill();
        }
        for (AutoCloseable part : List.of(mStore, mFirst, mSecond)) {
            part.close();
        }
    }

    private String settings(ListenAddress callers, ListenAddress readiness) {
        return """
                vm = "entry-1"
                failure-domain = "domain-1"
                callers-address = "%s"
                readiness-address = "%s"
                operators-address = "%s"
                peers-address = "%s"
                store-address = "%s"
                stop-grace = "5 s"
                """
                .formatted(
                        callers, readiness, Ports.free(), Ports.free(), mStore.server().address());
    }

    private int ready(ListenAddress readiness) {
        try {
            URI uri = URI.create("http://" + readiness + "/-/ready");
            return mClient.send(
                            HttpRequest.newBuilder(uri).build(),
                            HttpResponse.BodyHandlers.discarding())
                    .statusCode();
        } catch (IOException e) {
            return 0;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return 0;
        }
    }

    private HttpRequest request(String method, String path, String key) {
        return HttpRequest.newBuilder(URI.create("http://" + mCallers + path))
                .method(
                        method,
                        HttpRequest.BodyPublishers.ofString("GET".equals(method) ? "" : "{}"))
                .header("X-Request-Id", "request-" + ++mRequests)
                .header("X-Deadline-Ms", "2000")
                .header("X-Tenant", "forged")
                .header("Authorization", "Bearer " + key)
                .build();
    }

    private HttpResponse<String> call(String method, String path) throws Exception {
        return call(method, path, "key-1");
    }

    private HttpResponse<String> call(String method, String path, String key) throws Exception {
        return mClient.send(request(method, path, key), HttpResponse.BodyHandlers.ofString());
    }

    private void both(ServerStandIn.Mode mode) {
        mFirst.mode(mode);
        mSecond.mode(mode);
    }

    private List<String> runs() {
        return Stream.concat(mFirst.runs().stream(), mSecond.runs().stream()).toList();
    }

    /** Tests a process whose output nothing reads. */
    @Nested
    class Output {
        /** The number of requests; they write more log lines than a pipe holds. */
        private static final int REQUESTS = 600;

        @Test
        void aReaderThatStopsDoesNotStopRequests() throws Exception {
            ListenAddress callers = Ports.free();
            ListenAddress readiness = Ports.free();
            Path settings = mFolder.resolve("unread.toml");
            Files.writeString(settings, settings(callers, readiness));
            Process unread =
                    new ProcessBuilder(command(settings)).redirectErrorStream(true).start();
            try {
                await().atMost(TIMEOUT).until(() -> ready(readiness) == 200);
                URI uri = URI.create("http://" + callers + "/lookup/a");
                for (int i = 0; i < REQUESTS; i++) {
                    HttpRequest request =
                            HttpRequest.newBuilder(uri)
                                    .timeout(TIMEOUT)
                                    .header("X-Request-Id", "unread-" + i)
                                    .header("X-Deadline-Ms", "2000")
                                    .header("Authorization", "Bearer key-1")
                                    .build();
                    HttpResponse<String> answer =
                            mClient.send(request, HttpResponse.BodyHandlers.ofString());
                    assertThat(answer.statusCode()).isEqualTo(200);
                }
            } finally {
                unread.destroyForcibly().waitFor();
            }
        }
    }

    /** Tests requests of each kind while servers fail. */
    @Nested
    class Requests {
        @Test
        void answerIsWholeAndTheKeyStaysHere() throws Exception {
            HttpResponse<String> answer = call("GET", "/lookup/a%20b?q=1+2&r=%2F");
            assertThat(answer.statusCode()).isEqualTo(200);
            assertThat(answer.body()).contains("request-1");
            assertThat(answer.headers().firstValue("X-Response-Signature")).isPresent();
            assertThat(mFirst.lastHeaders()).isEqualTo("account=school,key=");
        }

        @Test
        void orderIsRunByAnotherServerAfterARefusalAndOnce() throws Exception {
            mFirst.mode(ServerStandIn.Mode.REFUSE);
            for (int i = 0; i < 4; i++) {
                assertThat(call("POST", "/pay/1").statusCode()).isEqualTo(200);
            }
            assertThat(mSecond.runs()).hasSize(4).doesNotHaveDuplicates();
        }

        @Test
        void orderWhoseAnswerIsLostIsNotRepeatedAndNotCalledNotRun() throws Exception {
            both(ServerStandIn.Mode.LOSE_ANSWER);
            HttpResponse<String> answer = call("POST", "/pay/1");
            assertThat(answer.statusCode()).isIn(502, 504);
            assertThat(runs()).containsExactly("request-1");
        }

        @Test
        void refusalOfAllServersIsAPromise() throws Exception {
            both(ServerStandIn.Mode.REFUSE);
            HttpResponse<String> answer = call("POST", "/pay/1");
            assertThat(answer.statusCode()).isEqualTo(503);
            assertThat(answer.headers().firstValue("Retry-After")).isPresent();
            assertThat(runs()).isEmpty();
        }

        @Test
        void streamGoesOnAtAnotherServerByteForByte() throws Exception {
            mFirst.mode(ServerStandIn.Mode.CUT_STREAM);
            StringBuilder whole = new StringBuilder();
            for (int i = 1; i <= 6; i++) {
                whole.append("id: ").append(i).append("\ndata: ").append(i).append("\n\n");
            }
            assertThat(call("POST", "/stream/1").body()).isEqualTo(whole.toString());
        }

        @Test
        void answerForAnotherRequestIsNotPassedOn() throws Exception {
            mFirst.mode(ServerStandIn.Mode.FOREIGN);
            HttpResponse<String> answer = call("GET", "/lookup/1");
            assertThat(answer.statusCode()).isEqualTo(200);
            assertThat(answer.body()).contains("i-second");
        }

        @Test
        void muteServerIsLeftBeforeTheDeadline() throws Exception {
            mFirst.mode(ServerStandIn.Mode.MUTE);
            assertThat(call("GET", "/lookup/1").statusCode()).isEqualTo(200);
        }

        @Test
        void unknownKeyAndUnknownRouteAreDenied() throws Exception {
            assertThat(call("GET", "/lookup/1", "key-2").statusCode()).isEqualTo(401);
            assertThat(call("GET", "/none/1").statusCode()).isEqualTo(404);
            assertThat(runs()).isEmpty();
        }

        @Test
        void callerThatLeavesStopsTheRequest() throws Exception {
            both(ServerStandIn.Mode.MUTE);
            String text =
                    "POST /pay/1 HTTP/1.1\r\nHost: 127.0.0.1\r\nX-Request-Id: gone\r\n"
                            + "Authorization: Bearer key-1\r\nContent-Length: 0\r\n\r\n";
            try (Socket socket = new Socket(mCallers.host(), mCallers.port())) {
                socket.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
                await().atMost(TIMEOUT).until(() -> runs().contains("gone"));
            }
            await().atMost(Duration.ofMillis(1500))
                    .until(() -> mRouter.output().contains("\"outcome\":\"caller_gone\""));
        }
    }

    /** Tests how the process follows changes in the store. */
    @Nested
    class StoreChanges {
        private void awaitOnly(ServerStandIn expected) {
            await().atMost(TIMEOUT)
                    .until(
                            () -> {
                                int before = expected.runs().size();
                                for (int i = 0; i < 4; i++) {
                                    call("GET", "/lookup/1");
                                }
                                return expected.runs().size() == before + 4;
                            });
        }

        @Test
        void drainingServerGetsNothing() {
            mStore.put("servers/i-first", mFirst.entry("desk", "domain-1", "draining"));
            awaitOnly(mSecond);
        }

        @Test
        void failureDomainOutOfServiceGetsNothingUntilItIsBack() {
            mStore.put("op/evacuate/domain-1", "{}");
            awaitOnly(mSecond);
            mStore.delete("op/evacuate/domain-1");
            mStore.delete("servers/i-second");
            awaitOnly(mFirst);
        }

        @Test
        void olderOrBrokenConfigurationDoesNotReplaceTheLastGoodOne() throws Exception {
            mStore.put("op/config", CONFIGURATION.formatted(4).replace("/lookup/", "/other/"));
            mStore.put("op/config", "{\"version\":9,\"routes\":[{}]}");
            await().atMost(TIMEOUT).until(() -> mRouter.output().contains("configuration refused"));
            assertThat(call("GET", "/lookup/1").statusCode()).isEqualTo(200);
            assertThat(mRouter.output()).contains("reason=");
        }

        @Test
        void changesAreSeenAfterTheHistoryWasForgotten() {
            mStore.compact();
            mStore.put("servers/i-first", mFirst.entry("desk", "domain-1", "draining"));
            awaitOnly(mSecond);
        }

        @Test
        void outageOfTheStoreLeavesTheServiceRunning() throws Exception {
            mStore.server().suspend();
            mStore.server().resetAll();
            for (int i = 0; i < 20; i++) {
                assertThat(call("GET", "/lookup/1").statusCode()).isEqualTo(200);
            }
            mStore.server().resume();
            mStore.put("servers/i-first", mFirst.entry("desk", "domain-1", "draining"));
            awaitOnly(mSecond);
        }
    }

    /** Tests the signals that stop the process or reload its settings. */
    @Nested
    class LifeCycle {
        @Test
        void plannedStopLetsARequestInProgressEnd() throws Exception {
            both(ServerStandIn.Mode.MUTE);
            CompletableFuture<HttpResponse<String>> answer =
                    mClient.sendAsync(
                            request("POST", "/pay/1", "key-1"),
                            HttpResponse.BodyHandlers.ofString());
            await().atMost(TIMEOUT).until(() -> !runs().isEmpty());
            mRouter.send(Signal.TERM);
            await().atMost(Duration.ofSeconds(2)).until(() -> ready(mReadiness) == 503);
            assertThat(answer.get().statusCode()).isEqualTo(504);
            assertThat(mRouter.awaitExit(Duration.ofSeconds(8))).isZero();
        }

        @Test
        void hangUpReadsTheSettingsAgain() throws Exception {
            Files.writeString(
                    mFolder.resolve("settings.toml"),
                    "retry-slack = 7\n",
                    StandardOpenOption.APPEND);
            mRouter.send(Signal.HUP);
            await().atMost(TIMEOUT)
                    .untilAsserted(
                            () ->
                                    assertThat(mRouter.output())
                                            .contains("read again, changed=true"));
            assertThat(call("GET", "/lookup/1").statusCode()).isEqualTo(200);
        }

        /** Guards against a SIGHUP that ends a process before its program has a handler. */
        @Test
        void hangUpsFromTheStartOnEndNothing() throws Exception {
            mRouter.kill();
            mRouter =
                    new ManagedProcess(
                            "router", mFolder, command(mFolder.resolve("settings.toml")));
            await().atMost(TIMEOUT).pollInterval(POLL).until(mRouter::launched);
            await().atMost(TIMEOUT)
                    .pollInterval(POLL)
                    .until(
                            () -> {
                                mRouter.send(Signal.HUP);
                                return !mRouter.alive() || ready(mReadiness) == 200;
                            });
            assertThat(mRouter.alive()).as(mRouter.output()).isTrue();
            for (int i = 0; i < 20; i++) {
                mRouter.send(Signal.HUP);
                assertThat(call("GET", "/lookup/1").statusCode()).isEqualTo(200);
            }
        }
    }
}
