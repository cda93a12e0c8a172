package org.magnoliaseam.testbed.proof;

import static org.assertj.core.api.Assertions.assertThat;
import static org.awaitility.Awaitility.await;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.magnoliaseam.testbed.harness.CallerAnswer;
import org.magnoliaseam.testbed.harness.SiteSpec;
import org.magnoliaseam.testbed.harness.TestSite;

/** Tests that a crashing request takes down few engines and other requests soon succeed. */
class CrashingRequestIT {

    private static final String QUESTION = "question";
    private static final String REVIEW = "review";
    private static final Duration WARM_TIMEOUT = Duration.ofSeconds(20);

    /** The time within which other requests succeed again after a crash. */
    private static final Duration RECOVERY_TIMEOUT = Duration.ofSeconds(5);

    /** The time between two sends of the crashing request. */
    private static final Duration SEND_INTERVAL = Duration.ofMillis(1_000);

    /** The most crashes if a notice reaches the peers before the request is sent again. */
    private static final int MAX_CRASHES = 2;

    /** The most crashes if notices reach no peer in time: two through each entry VM. */
    private static final int MAX_CRASHES_WITHOUT_NOTICES = 8;

    private static TestSite sSite;

    @BeforeAll
    static void start() {
        sSite = TestSite.start(new SiteSpec().withEntryVms(4).withEngines(4).withLimits(8, 2));
    }

    @AfterAll
    static void stop() {
        sSite.close();
    }

    @BeforeEach
    void awaitWarm() {
        await().atMost(WARM_TIMEOUT)
                .until(
                        () ->
                                new CallBatch(sSite, "warm")
                                        .send(16, REVIEW, 2).answers().stream()
                                                .allMatch(CallerAnswer::whole));
    }

    /** Sums the crashes once every engine is back on the network. */
    private static int crashes() {
        return await().ignoreExceptions()
                .atMost(RECOVERY_TIMEOUT)
                .until(CrashingRequestIT::reportedCrashes, count -> true);
    }

    private static int reportedCrashes() {
        return sSite.engines().stream()
                .mapToInt(engine -> engine.stats().path("crashes").asInt())
                .sum();
    }

    private static void pause(Duration duration) {
        await().pollDelay(duration).until(() -> true);
    }

    private static void sendCrashingRequest(String prompt, int count, Duration interval) {
        CallBatch batch = new CallBatch(sSite, prompt);
        for (int i = 0; i < count; i++) {
            CompletableFuture<CallerAnswer> answer =
                    batch.send(sSite.entry(i % 4), QUESTION, prompt);
            pause(interval);
            assertThat(answer.join().whole()).isFalse();
        }
    }

    private static void assertOtherRequestsSucceed() {
        await().atMost(RECOVERY_TIMEOUT)
                .until(
                        () ->
                                new CallBatch(sSite, "after")
                                        .send(8, QUESTION, 5).answers().stream()
                                                .allMatch(CallerAnswer::whole));
    }

    @Test
    void requestSentAgainTakesDownFewEngines() {
        int before = crashes();
        sendCrashingRequest("[[crash]] again", 8, SEND_INTERVAL);
        assertThat(crashes() - before).isBetween(1, MAX_CRASHES);
        assertOtherRequestsSucceed();
    }

    @Test
    void requestSentAgainAtOnceTakesDownFewEngines() {
        int before = crashes();
        sendCrashingRequest("[[crash]] at once", 16, Duration.ofMillis(1));
        assertThat(crashes() - before).isBetween(1, MAX_CRASHES_WITHOUT_NOTICES);
        assertOtherRequestsSucceed();
    }

    @Test
    void requestsBesideItSucceedSoonAfter() {
        CallBatch beside = new CallBatch(sSite, "beside").send(16, REVIEW, 150);
        sendCrashingRequest("[[crash]] beside", 4, SEND_INTERVAL);
        beside.verifyTexts(entry -> false);
        List<CallBatch.Sent> lost =
                beside.sent().stream().filter(sent -> !sent.answer().join().whole()).toList();
        CallBatch again = new CallBatch(sSite, "again");
        await().atMost(RECOVERY_TIMEOUT)
                .until(
                        () ->
                                lost.stream()
                                        .map(s -> again.send(s.entry(), REVIEW, s.call().prompt()))
                                        .map(CompletableFuture::join)
                                        .allMatch(CallerAnswer::whole));
    }
}
