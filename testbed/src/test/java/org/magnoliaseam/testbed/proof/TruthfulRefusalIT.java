package org.magnoliaseam.testbed.proof;

import static org.assertj.core.api.Assertions.assertThat;
import static org.awaitility.Awaitility.await;

import com.fasterxml.jackson.databind.JsonNode;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import org.magnoliaseam.testbed.harness.BackendMember;
import org.magnoliaseam.testbed.harness.CallerAnswer;
import org.magnoliaseam.testbed.harness.CallerError;
import org.magnoliaseam.testbed.harness.SiteSpec;
import org.magnoliaseam.testbed.harness.TestSite;

/** Tests that no engine started a request that was reported to its caller as not run. */
class TruthfulRefusalIT {

    private static final String QUESTION = "question";
    private static final int BURST = 60;
    private static final Duration RESTART_TIMEOUT = Duration.ofSeconds(5);
    private static final Duration BURST_INTERVAL = Duration.ofMillis(700);

    private static TestSite sSite;

    private final Set<String> mStarted = new HashSet<>();

    @BeforeAll
    static void start() {
        sSite =
                TestSite.start(
                        new SiteSpec()
                                .withEngines(2)
                                .withLimits(4, 1)
                                .withProxies()
                                .withRouting("queue-limit = 20"));
    }

    @AfterAll
    static void stop() {
        sSite.close();
    }

    private void collectStarts() {
        for (BackendMember engine : sSite.engines()) {
            await().ignoreExceptions().atMost(RESTART_TIMEOUT).until(() -> collectStarts(engine));
        }
    }

    private boolean collectStarts(BackendMember engine) {
        for (JsonNode start : engine.get("/test/starts?sinceMillis=0")) {
            mStarted.add(start.path("id").asText());
        }
        return true;
    }

    private void killEngine() {
        collectStarts();
        EngineFault.KILLED.begin(sSite);
        EngineFault.KILLED.end(sSite);
    }

    private CallBatch sendBursts(Runnable begin, Runnable end) {
        CallBatch batch = new CallBatch(sSite, "burst-" + System.nanoTime());
        batch.send(BURST, QUESTION, 20);
        await().pollDelay(BURST_INTERVAL).until(() -> true);
        begin.run();
        batch.send(BURST, QUESTION, 20);
        await().pollDelay(BURST_INTERVAL).until(() -> true);
        end.run();
        return batch;
    }

    private static List<CallerError> notRun(List<CallBatch> batches) {
        return batches.stream()
                .flatMap(batch -> batch.answers().stream())
                .flatMap(answer -> answer.error().stream())
                .filter(error -> error.executed().equals("no"))
                .toList();
    }

    @Test
    void requestsToldNotRunWereNotStarted() {
        List<CallBatch> batches = new ArrayList<>();
        for (EngineFault fault : EngineFault.values()) {
            if (fault != EngineFault.KILLED) {
                batches.add(sendBursts(() -> fault.begin(sSite), () -> fault.end(sSite)));
            }
        }
        batches.add(sendBursts(() -> slowDown(20), () -> slowDown(1)));
        batches.add(sendBursts(this::crash, () -> {}));
        batches.add(sendBursts(this::killEngine, () -> {}));
        List<CallerError> refusals = notRun(batches);
        collectStarts();
        assertThat(refusals).isNotEmpty();
        assertThat(refusals).noneMatch(error -> mStarted.contains(error.requestId()));
        assertThat(batches).anyMatch(batch -> batch.count(CallerAnswer::whole) > 0);
    }

    private static void slowDown(int factor) {
        sSite.engines().forEach(engine -> engine.control("{\"slowFactor\":%d}".formatted(factor)));
    }

    private void crash() {
        CallBatch batch = new CallBatch(sSite, "crash");
        batch.send(sSite.entry(0), QUESTION, "[[crash]] " + System.nanoTime());
    }
}
