package org.magnoliaseam.testbed.proof;

import static org.assertj.core.api.Assertions.assertThat;
import static org.awaitility.Awaitility.await;

import java.time.Duration;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.magnoliaseam.testbed.harness.CallerAnswer;
import org.magnoliaseam.testbed.harness.EntryVm;
import org.magnoliaseam.testbed.harness.SiteSpec;
import org.magnoliaseam.testbed.harness.TestSite;

/** Tests that every whole answer equals the text of an engine byte for byte. */
class WholeAnswersIT {

    private static final int STREAMS = 40;
    private static final int TOKENS = 80;
    private static final String REVIEW = "review";
    private static final Duration WARM_TIMEOUT = Duration.ofSeconds(20);
    private static final Duration START_TIMEOUT = Duration.ofSeconds(5);
    private static final Duration FAULT_DURATION = Duration.ofMillis(1_500);

    private static TestSite sSite;

    @BeforeAll
    static void start() {
        sSite = TestSite.start(new SiteSpec().withEngines(3).withLimits(16, 2).withProxies());
    }

    @AfterAll
    static void stop() {
        sSite.close();
    }

    /** Waits until a batch is whole and the first engine completed several of its calls. */
    private static void awaitWarm() {
        await().atMost(WARM_TIMEOUT).until(WholeAnswersIT::warm);
    }

    private static boolean warm() {
        int before = completed();
        CallBatch batch = new CallBatch(sSite, "warm").send(30, REVIEW, 5);
        return batch.answers().stream().allMatch(CallerAnswer::whole) && completed() > before + 4;
    }

    private static int completed() {
        return sSite.engine(0).stats().path("completed").asInt();
    }

    /** Waits until the first engine has delivered some tokens of several streams. */
    private static void awaitStreaming() {
        int before = delivered();
        await().pollInterval(Duration.ofMillis(20))
                .atMost(START_TIMEOUT)
                .until(() -> delivered() > before + 20);
    }

    private static int delivered() {
        return sSite.engine(0).stats().path("tokensDelivered").asInt();
    }

    private static int resumedTokens() {
        return sSite.engines().stream()
                .mapToInt(engine -> engine.stats().path("tokensResumed").asInt())
                .sum();
    }

    private static void pause(Duration duration) {
        await().pollDelay(duration).until(() -> true);
    }

    @ParameterizedTest
    @EnumSource
    void wholeAnswersMatchWhenOneEngine(EngineFault fault) {
        awaitWarm();
        CallBatch batch = new CallBatch(sSite, fault.name()).send(STREAMS, REVIEW, TOKENS);
        awaitStreaming();
        fault.begin(sSite);
        pause(FAULT_DURATION);
        fault.end(sSite);
        batch.verifyTexts(entry -> false);
        assertThat(batch.count(CallerAnswer::whole)).isPositive();
    }

    @Test
    void interruptedStreamIsResumedOnAnotherEngine() {
        awaitWarm();
        int before = resumedTokens();
        CallBatch batch = new CallBatch(sSite, "resumed").send(12, REVIEW, TOKENS);
        awaitStreaming();
        sSite.engine(0).control("{\"cold\":true}");
        batch.verifyTexts(entry -> false);
        assertThat(resumedTokens()).isGreaterThan(before);
    }

    @Test
    void streamsOfKilledEntryVmEndWithoutEndMarker() {
        awaitWarm();
        EntryVm killed = sSite.entry(0);
        CallBatch batch = new CallBatch(sSite, "entry").send(STREAMS, REVIEW, TOKENS);
        awaitStreaming();
        killed.process().kill();
        batch.verifyTexts(killed::equals);
        assertThat(batch.sent())
                .filteredOn(sent -> sent.entry() != killed)
                .allMatch(sent -> sent.answer().join().whole());
        killed.start();
        killed.awaitReady();
    }
}
