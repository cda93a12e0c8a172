package org.magnoliaseam.testbed.platform;

import static org.assertj.core.api.Assertions.assertThat;
import static org.awaitility.Awaitility.await;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.magnoliaseam.testbed.harness.CallerClient;
import org.magnoliaseam.testbed.harness.HttpCalls;
import org.magnoliaseam.testbed.http.ListenAddress;
import org.magnoliaseam.testbed.http.StandInServer;

/** Tests the stand-in for the platform over HTTP. */
class PlatformStandInTest {

    private static final String READ = "/v1/configuration?site=s&newerThan=";

    private final PlatformStandIn mPlatform = new PlatformStandIn(new PublishedValues());
    private final StandInServer mServer = new StandInServer(ListenAddress.loopback(0), mPlatform);
    private final CallerClient mClient = new CallerClient();
    private final HttpCalls mCalls = mClient.calls();

    @BeforeEach
    void start() throws Exception {
        mServer.start();
    }

    @AfterEach
    void stop() throws Exception {
        mClient.close();
        mServer.close();
        mPlatform.close();
    }

    private void publish(long version) {
        String value = "{\"version\":%d,\"base\":\"b\",\"overlay\":\"o\"}".formatted(version);
        mCalls.postText(mServer.address(), "/test/configuration?site=s", value);
    }

    private int read(long newerThan) {
        return mCalls.status(mServer.address(), READ + newerThan + "&waitSeconds=0");
    }

    private void mode(String json) {
        mCalls.postText(mServer.address(), "/test/mode", json);
    }

    @Test
    void waitingWatchGetsTheNextVersionAndCountsOnce() {
        publish(1);
        CompletableFuture<JsonNode> watch =
                CompletableFuture.supplyAsync(
                        () -> mCalls.get(mServer.address(), READ + "1&waitSeconds=10"));
        await().until(() -> stats().path("calls").asInt() == 1);
        publish(2);
        assertThat(watch.join().path("version").asLong()).isEqualTo(2);
        assertThat(stats().path("calls").asInt()).isEqualTo(1);
        assertThat(stats().path("worstSecond").asInt()).isEqualTo(1);
    }

    private JsonNode stats() {
        return mCalls.get(mServer.address(), "/test/stats");
    }

    @Test
    void olderVersionCanBePublished() {
        publish(5);
        publish(3);
        JsonNode value = mCalls.get(mServer.address(), READ + "0&waitSeconds=0");
        assertThat(value.path("version").asLong()).isEqualTo(3);
        assertThat(read(5)).isEqualTo(304);
    }

    @Test
    void downClosesWithoutAnAnswerUntilNormal() {
        publish(1);
        mode("{\"mode\":\"down\"}");
        assertThat(read(0)).isZero();
        mode("{\"mode\":\"normal\"}");
        assertThat(read(0)).isEqualTo(200);
    }

    @Test
    void staleShowsOldValuesAndLaggingShowsValuesLate() {
        publish(1);
        mode("{\"mode\":\"stale\"}");
        await().until(() -> System.currentTimeMillis() % 2 == 0);
        publish(2);
        assertThat(read(0)).isEqualTo(200);
        mode("{\"mode\":\"lagging\",\"lagMillis\":300}");
        assertThat(read(1)).isEqualTo(304);
        await().until(() -> read(1) == 200);
    }

    @Test
    void modeForOneAddressDoesNotAffectOthers() {
        publish(1);
        mode("{\"mode\":\"down\",\"forAddress\":\"127.0.0.1:1\"}");
        assertThat(read(0)).isEqualTo(200);
        mode("{\"mode\":\"down\",\"forAddress\":\"" + mServer.address() + "\"}");
        assertThat(read(0)).isZero();
    }

    @Test
    void valueForOneAddressIsShownOnlyToItsReaders() {
        String value = "{\"version\":7,\"base\":\"b\",\"overlay\":\"o\"}";
        String path = "/test/configuration?site=s&forAddress=";
        mCalls.postText(mServer.address(), path + "127.0.0.1:1", value);
        assertThat(read(0)).isEqualTo(304);
        mCalls.postText(mServer.address(), path + mServer.address(), value);
        assertThat(read(0)).isEqualTo(200);
    }
}
